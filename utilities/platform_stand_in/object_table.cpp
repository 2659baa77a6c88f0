#include "platform_stand_in/object_table.hpp"

#include <algorithm>

namespace buckthorndale::utilities::platform_stand_in {

auto object_table::put(const std::string& name, const std::string& value, const std::string& if_match,
                       bool if_none_match) -> put_outcome
{
    const auto found = objects_.find(name);
    const auto is_present = found != objects_.end();
    if (if_none_match && is_present)
        return {};
    if (!if_match.empty() && (!is_present || found->second.tag() != if_match))
        return {};
    auto& object = objects_[name];
    object = {.name_ = name, .value_ = value, .version_ = ++version_};
    return {.is_written_ = true, .is_new_ = !is_present, .tag_ = object.tag()};
}

auto object_table::find(const std::string& name) const -> std::optional<table_object>
{
    const auto found = objects_.find(name);
    if (found == objects_.end())
        return std::nullopt;
    return found->second;
}

auto object_table::list(const std::string& prefix, const std::string& after, std::size_t most) const
    -> std::vector<table_object>
{
    auto found = std::vector<table_object>{};
    for (auto next = objects_.lower_bound(prefix); next != objects_.end(); ++next) {
        if (!next->first.starts_with(prefix) || found.size() == most)
            break;
        if (after.empty() || next->first > after)
            found.push_back(next->second);
    }
    return found;
}

auto object_table::version_of(const std::string& prefix) const -> std::uint64_t
{
    auto newest = std::uint64_t{0};
    for (auto next = objects_.lower_bound(prefix); next != objects_.end(); ++next) {
        if (!next->first.starts_with(prefix))
            break;
        newest = std::max(newest, next->second.version_);
    }
    return newest;
}

auto object_table::restore(const object_table& older) -> void
{
    objects_ = older.objects_;
    // Versions go on, so that tags of the lost writes are not given out again.
    ++version_;
}

} // namespace buckthorndale::utilities::platform_stand_in
