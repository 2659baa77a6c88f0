#pragma once

#include "state/instance_list.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The platform's object API and instance list. Another platform takes another adapter in this folder.
namespace buckthorndale::transport::platform {

/// An object with the tag for conditional updates.
struct stored_object {
    std::string name_;
    std::string tag_;
    std::string value_;
};

enum class put_result : std::uint8_t {
    written,
    /// The condition did not hold.
    refused,
    /// No answer came, or one that tells nothing; the write may have taken effect or may still do so.
    uncertain,
};

/// The result of a read: the platform may not have answered, or the object may not be there.
struct read_result {
    bool is_available_{false};
    std::optional<stored_object> object_;
};

struct list_result {
    bool is_available_{false};
    std::vector<stored_object> objects_;
};

struct watch_result {
    bool is_available_{false};
    /// The version of the store to watch from next.
    std::uint64_t version_{0};
    bool has_changed_{false};
};

struct instances_result {
    bool is_available_{false};
    std::optional<state::instance_list> list_;
};

/// Speaks with the platform. No member throws for an outage; the results tell.
class object_store {
public:
    object_store(http::client& client, state::network_address address, state::duration timeout)
        : client_{client}, address_{std::move(address)}, request_timeout_{timeout}
    {}

    /// Creates an object if there is none with the name.
    auto create(std::string name, std::string value) -> http::awaitable<put_result>;

    /// Replaces an object if it still has the tag.
    auto replace(std::string name, std::string tag, std::string value) -> http::awaitable<put_result>;

    auto read(std::string name) -> http::awaitable<read_result>;

    /// Objects whose names begin with the prefix and sort after `after`, at most `most`, in order.
    auto list(std::string prefix, std::string after, std::size_t max_count) -> http::awaitable<list_result>;

    /// Waits until something under the prefix is newer than the version, or the time is up.
    auto watch(std::string prefix, std::uint64_t version, state::duration timeout)
        -> http::awaitable<watch_result>;

    /// The entry instances of all data centres and the endpoints of one, if the list is newer than the
    /// version.
    auto instances(state::data_centre_id data_centre, std::uint64_t version)
        -> http::awaitable<instances_result>;

private:
    auto put(std::string name, std::string_view condition, std::string tag, std::string value)
        -> http::awaitable<put_result>;
    auto get(std::string target, state::duration timeout) -> http::awaitable<std::optional<http::response>>;

    http::client& client_;
    state::network_address address_;
    state::duration request_timeout_;
};

} // namespace buckthorndale::transport::platform
