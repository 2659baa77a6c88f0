#pragma once

#include "state/instance_list.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace buckthorndale::utilities::platform_stand_in {

/// The instance list, which shows each change only after a lag.
class instance_directory {
public:
    instance_directory(state::instance_list first, state::duration lag) : lag_{lag}
    {
        first.version_ = 1;
        history_.push_back({.since_ = {}, .list_ = std::move(first)});
    }

    /// Adds or replaces an endpoint.
    auto put_endpoint(const state::endpoint& endpoint, state::time_point now) -> void;

    /// Adds or replaces an entry instance.
    auto put_member(const state::member& member, state::time_point now) -> void;

    /// Removes an endpoint or an entry instance by its name.
    auto remove(const std::string& id, state::time_point now) -> void;

    /// The list as it shows now: the entry instances of all data centres, and the endpoints of one, or of
    /// all when none is named.
    auto visible(const std::string& data_centre, state::time_point now) -> state::instance_list;

private:
    struct dated_list {
        state::time_point since_;
        state::instance_list list_;
    };

    auto next_list(state::time_point now) -> state::instance_list&;

    state::duration lag_;
    std::deque<dated_list> history_;
};

} // namespace buckthorndale::utilities::platform_stand_in
