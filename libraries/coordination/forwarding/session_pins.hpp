#pragma once

#include "state/identifiers.hpp"
#include "state/stable_hash.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace buckthorndale::coordination::forwarding {

/// The version that the last request of each session ran on.
class session_pins {
public:
    explicit session_pins(state::duration lifetime) : lifetime_{lifetime} {}

    auto find(const state::session_id& session, const state::service_name& service,
              state::time_point now) const -> std::optional<state::version_name>
    {
        const auto found = pins_.find({service, key_of(session)});
        if (session.is_empty() || found == pins_.end() || now - found->second.last_used_ > lifetime_)
            return std::nullopt;
        return found->second.version_;
    }

    auto pin(const state::session_id& session, const state::service_name& service,
             const state::version_name& version, state::time_point now) -> void
    {
        if (!session.is_empty())
            pins_[{service, key_of(session)}] = {.version_ = version, .last_used_ = now};
    }

    /// Removes sessions that were not used within the lifetime.
    auto forget_old(state::time_point now) -> void
    {
        std::erase_if(pins_, [&](const auto& item) { return now - item.second.last_used_ > lifetime_; });
    }

    auto size() const -> std::size_t { return pins_.size(); }

private:
    struct entry {
        state::version_name version_;
        state::time_point last_used_;
    };

    using session_key = std::uint64_t;

    /// Callers choose how many sessions there are and how long their names.
    static auto key_of(const state::session_id& session) -> session_key
    {
        return state::stable_hash(session.text());
    }

    state::duration lifetime_;
    std::map<std::pair<state::service_name, session_key>, entry> pins_;
};

} // namespace buckthorndale::coordination::forwarding
