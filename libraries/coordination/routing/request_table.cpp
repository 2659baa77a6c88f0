#include "coordination/routing/request_table.hpp"

#include "state/invariant.hpp"

namespace buckthorndale::coordination::routing {

auto request_table::open(state::request_handle handle, state::request_description description,
                         state::time_point now, state::time_point deadline) -> request_entry&
{
    const auto [place, is_new] = entries_.try_emplace(handle);
    verify(is_new, state::guarantee::internal_consistency, "a request handle must be new");
    auto& entry = place->second;
    entry.handle_ = handle;
    entry.description_ = std::move(description);
    entry.arrived_ = now;
    entry.stage_since_ = now;
    entry.deadline_ = deadline;
    by_deadline_.emplace(deadline, handle);
    return entry;
}

auto request_table::open_attempt(request_entry& entry) -> state::attempt_handle
{
    last_attempt_ = last_attempt_.next();
    if (entry.indexed_attempt_)
        by_attempt_.erase(*entry.indexed_attempt_);
    entry.indexed_attempt_ = last_attempt_;
    by_attempt_.emplace(last_attempt_, entry.handle_);
    return last_attempt_;
}

auto request_table::find(state::request_handle handle) -> request_entry*
{
    const auto found = entries_.find(handle);
    return found == entries_.end() ? nullptr : &found->second;
}

auto request_table::find_by_attempt(state::attempt_handle attempt) -> request_entry*
{
    const auto found = by_attempt_.find(attempt);
    return found == by_attempt_.end() ? nullptr : find(found->second);
}

auto request_table::close(state::request_handle handle) -> void
{
    const auto found = entries_.find(handle);
    if (found == entries_.end())
        return;
    const auto& attempt = found->second.indexed_attempt_;
    if (attempt)
        by_attempt_.erase(*attempt);
    by_deadline_.erase({found->second.deadline_, handle});
    entries_.erase(found);
}

auto request_table::expired(state::time_point now) const -> std::vector<state::request_handle>
{
    auto handles = std::vector<state::request_handle>{};
    for (const auto& [deadline, handle] : by_deadline_) {
        if (deadline > now)
            break;
        handles.push_back(handle);
    }
    return handles;
}

auto request_table::handles() const -> std::vector<state::request_handle>
{
    auto all = std::vector<state::request_handle>{};
    for (const auto& [handle, entry] : entries_)
        all.push_back(handle);
    return all;
}

} // namespace buckthorndale::coordination::routing
