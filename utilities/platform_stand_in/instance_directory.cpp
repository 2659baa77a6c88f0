#include "platform_stand_in/instance_directory.hpp"

#include <algorithm>

namespace buckthorndale::utilities::platform_stand_in {

namespace {

template <typename Items, typename Item>
auto put_into(Items& items, const Item& item) -> void
{
    const auto found = std::ranges::find(items, item.id_, &Item::id_);
    if (found == items.end())
        items.push_back(item);
    else
        *found = item;
}

} // namespace

auto instance_directory::put_endpoint(const state::endpoint& endpoint, state::time_point now) -> void
{
    put_into(next_list(now).endpoints_, endpoint);
}

auto instance_directory::put_member(const state::member& member, state::time_point now) -> void
{
    put_into(next_list(now).members_, member);
}

auto instance_directory::remove(const std::string& id, state::time_point now) -> void
{
    auto& list = next_list(now);
    std::erase_if(list.endpoints_, [&](const auto& endpoint) { return endpoint.id_.text() == id; });
    std::erase_if(list.members_, [&](const auto& member) { return member.id_.text() == id; });
}

auto instance_directory::visible(const std::string& data_centre, state::time_point now)
    -> state::instance_list
{
    while (history_.size() > 1 && history_[1].since_ + lag_ <= now)
        history_.pop_front();
    auto list = history_.front().list_;
    if (data_centre.empty())
        return list;
    std::erase_if(list.endpoints_, [&](const auto& item) { return item.data_centre_.text() != data_centre; });
    return list;
}

auto instance_directory::next_list(state::time_point now) -> state::instance_list&
{
    auto list = history_.back().list_;
    ++list.version_;
    history_.push_back({.since_ = now, .list_ = std::move(list)});
    return history_.back().list_;
}

} // namespace buckthorndale::utilities::platform_stand_in
