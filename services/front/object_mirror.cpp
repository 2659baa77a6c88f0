#include "front/object_mirror.hpp"

#include "platform/object_codec.hpp"
#include "state/error.hpp"

namespace buckthorndale::services::front {

namespace {

/// Empty for an object without a name.
auto name_of(const Json::Value& object) -> std::string
{
    try {
        return platform::read_metadata(object).name_;
    } catch (const state::error&) {
        // Whoever reads the objects says what is wrong with them; one without a name cannot be kept.
        return {};
    }
}

} // namespace

auto object_mirror::replace(const platform::object_listing& listing) -> bool
{
    if (listing.revision_ < revision_)
        return false;
    objects_.clear();
    for (const auto& object : listing.objects_) {
        const auto name = name_of(object);
        if (!name.empty())
            objects_[name] = object;
    }
    revision_ = listing.revision_;
    return true;
}

auto object_mirror::apply(const platform::object_changes& changes) -> void
{
    for (const auto& change : changes.changes_) {
        const auto name = name_of(change.object_);
        if (name.empty())
            continue;
        if (change.is_removed_)
            objects_.erase(name);
        else
            objects_[name] = change.object_;
    }
    revision_ = std::max(revision_, changes.revision_);
}

auto object_mirror::to_value() const -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["revision"] = Json::UInt64{revision_};
    value["objects"] = Json::Value{Json::arrayValue};
    for (const auto& [name, object] : objects_)
        value["objects"].append(object);
    return value;
}

auto listing_from(const Json::Value& value) -> platform::object_listing
{
    if (!value.isObject() || !value["revision"].isUInt64() || !value["objects"].isArray())
        throw platform::store_error{platform::store_fault::malformed, "an instance sent no listing"};
    auto listing = platform::object_listing{.revision_ = value["revision"].asUInt64()};
    for (const auto& object : value["objects"])
        listing.objects_.push_back(object);
    return listing;
}

} // namespace buckthorndale::services::front
