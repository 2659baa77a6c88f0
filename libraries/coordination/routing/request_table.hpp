#pragma once

#include "coordination/routing/request_entry.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace buckthorndale::coordination::routing {

/// The requests inside a router, indexed by handle, attempt and deadline.
class request_table {
public:
    /// Adds an entry under a new handle. The reference stays valid until close().
    auto open(state::request_handle handle, state::request_description description, state::time_point now,
              state::time_point deadline) -> request_entry&;

    /// Allocates the handle of an entry's new attempt, and indexes the entry by it.
    auto open_attempt(request_entry& entry) -> state::attempt_handle;

    auto find(state::request_handle handle) -> request_entry*;

    /// The entry whose current attempt this is; null for an abandoned attempt.
    auto find_by_attempt(state::attempt_handle attempt) -> request_entry*;

    auto close(state::request_handle handle) -> void;

    /// The requests whose deadline has passed.
    auto expired(state::time_point now) const -> std::vector<state::request_handle>;

    auto size() const -> std::size_t { return entries_.size(); }

    /// Visits each request; the visitor must not open or close any.
    template <typename Visitor>
    auto for_each(Visitor visit) const -> void
    {
        for (const auto& [handle, entry] : entries_)
            visit(entry);
    }

    /// A snapshot of all handles, for loops that may close requests.
    auto handles() const -> std::vector<state::request_handle>;

private:
    state::attempt_handle last_attempt_;
    std::map<state::request_handle, request_entry> entries_;
    std::map<state::attempt_handle, state::request_handle> by_attempt_;
    std::set<std::pair<state::time_point, state::request_handle>> by_deadline_;
};

} // namespace buckthorndale::coordination::routing
