#pragma once

#include "platform/store_client.hpp"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace buckthorndale::services::front {

/// The objects of one kind at the newest known revision. Never returns to an older revision.
class object_mirror {
public:
    explicit object_mirror(std::string kind) : kind_{std::move(kind)} {}

    auto kind() const -> const std::string& { return kind_; }

    auto revision() const -> std::uint64_t { return revision_; }

    auto objects() const -> const std::map<std::string, Json::Value>& { return objects_; }

    /// Replaces all objects. Returns false when the listing is older than the known revision.
    auto replace(const platform::object_listing& listing) -> bool;

    auto apply(const platform::object_changes& changes) -> void;

    /// The revision of the last known change of an object; at most revision().
    auto changed_at() const -> std::uint64_t { return changed_at_; }

    /// The compressed objects for other instances. Cached until they change, since many instances request
    /// them.
    auto compressed_listing() -> const std::string&;

private:
    std::string kind_;
    std::uint64_t revision_{0};
    std::uint64_t changed_at_{0};
    std::map<std::string, Json::Value> objects_;
    std::optional<std::string> compressed_listing_;
};

/// Reads the result of object_mirror::compressed_listing. Throws store_error of fault malformed for JSON that
/// is not a listing, and error for other bytes.
auto decompress_listing(std::string_view bytes) -> platform::object_listing;

} // namespace buckthorndale::services::front
