#pragma once

#include "protocol/json/unreadable_part.hpp"
#include "state/instance_list.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Client of the platform's object API and instance list. Each kind of platform has its own adapter here.
namespace buckthorndale::transport::platform {

/// An object and its entity tag for conditional updates.
struct stored_object {
    std::string name_;
    std::string tag_;
    std::string value_;
};

enum class put_result : std::uint8_t {
    written,
    /// The precondition failed.
    refused,
    /// No usable answer arrived; the write may have taken effect or may still do so.
    uncertain,
};

/// `object_` is empty when the platform did not answer and when the object does not exist.
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
    /// The store's version to pass to the next watch().
    std::uint64_t version_{0};
    bool has_changed_{false};
};

struct instances_result {
    bool is_available_{false};
    std::optional<state::instance_list> list_;
    /// The entries that could not be read and are left out, for the log.
    std::vector<protocol::json::unreadable_part> unreadable_;
};

/// Accesses the platform's object store. Outages are reported in the results, not thrown.
class object_store {
public:
    object_store(http::client& client, state::network_address address, state::duration timeout)
        : client_{client}, address_{std::move(address)}, request_timeout_{timeout}
    {}

    /// Creates an object unless one with the name exists.
    auto create(std::string name, std::string value) -> http::awaitable<put_result>;

    /// Replaces an object if its tag is unchanged.
    auto replace(std::string name, std::string tag, std::string value) -> http::awaitable<put_result>;

    auto read(std::string name) -> http::awaitable<read_result>;

    /// At most `max_count` objects whose names begin with the prefix and sort after `after`, in order.
    auto list(std::string prefix, std::string after, std::size_t max_count) -> http::awaitable<list_result>;

    /// Waits until an object under the prefix is newer than the version, or the timeout expires.
    auto watch(std::string prefix, std::uint64_t version, state::duration timeout)
        -> http::awaitable<watch_result>;

    /// Returns the entry instances of all data centres and the endpoints of one, if the list is newer than
    /// the version.
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
