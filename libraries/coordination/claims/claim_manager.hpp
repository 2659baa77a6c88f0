#pragma once

#include "coordination/claims/claim_port.hpp"
#include "coordination/claims/claim_verdict.hpp"
#include "coordination/time/random_source.hpp"
#include "state/claim_record.hpp"
#include "state/invariant.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace buckthorndale::coordination::claims {

/// The agent's part in running non-idempotent calls at most once.
///
/// A claim is an object that is created in the platform before the first byte of the call is sent. The
/// request that created it, or that took it over from a claimant that abandoned it, may run the call. Each
/// request uses its own nonce, so that a write whose response was lost is recognised when it is read back.
/// A call is never dispatched under an abandoned nonce, which makes the takeover safe.
template <claim_port Port, time::random_source Random>
class claim_manager {
public:
    claim_manager(Port& port, Random& random, state::instance_id self, state::incarnation incarnation,
                  state::network_address address)
        : port_{port}, random_{random}, self_{std::move(self)}, incarnation_{incarnation},
          address_{std::move(address)}
    {}

    /// Requests a claim. The verdict is delivered through the port's settle().
    auto request(claim_ticket ticket, const state::claim_key& key, state::content_fingerprint content) -> void
    {
        const auto known = entries_.find(key);
        if (known == entries_.end()) {
            begin(ticket, key, content);
            return;
        }
        if (known->second.content_ != content) {
            settle(ticket, key, claim_verdict_kind::mismatch);
            return;
        }
        answer_from_entry(ticket, key, known->second);
    }

    /// Handles the result of create_claim or replace_claim.
    auto written(claim_ticket ticket, write_result result) -> void
    {
        auto* pending = find_pending(ticket);
        if (pending == nullptr)
            return;
        if (result == write_result::written) {
            grant(ticket, *pending);
            return;
        }
        if (++pending->rounds_ > max_rounds) {
            give_up(ticket, *pending, claim_verdict_kind::unavailable);
            return;
        }
        pending->is_uncertain_ = pending->is_uncertain_ || result == write_result::uncertain;
        port_.read_claim(ticket, pending->record_);
    }

    /// Handles the result of read_claim.
    auto was_read(claim_ticket ticket, const claim_read_result& reading) -> void
    {
        auto* pending = find_pending(ticket);
        if (pending == nullptr)
            return;
        if (!reading.is_available_) {
            give_up(ticket, *pending, claim_verdict_kind::unavailable);
            return;
        }
        if (!reading.claim_) {
            create_missing_claim(ticket, *pending);
            return;
        }
        pending->stored_ = *reading.claim_;
        evaluate_stored_claim(ticket, *pending);
    }

    /// Handles the reply to ask_claimant.
    auto claimant_answered(claim_ticket ticket, const claimant_reply& statement) -> void
    {
        auto* pending = find_pending(ticket);
        if (pending == nullptr)
            return;
        using kind = claimant_reply::kind;
        switch (statement.kind_) {
        case kind::finished:
            abandon_and_settle(ticket, *pending, claim_verdict_kind::finished, statement.outcome_);
            return;
        case kind::in_progress:
            abandon_and_settle(ticket, *pending, claim_verdict_kind::in_progress, {});
            return;
        case kind::abandoned:
            port_.replace_claim(ticket, pending->stored_, pending->record_);
            return;
        case kind::unknown:
            abandon_and_settle(ticket, *pending, claim_verdict_kind::unknown, {});
            return;
        }
    }

    /// Records that a granted call ended, with the outcome that is returned to a resend.
    auto finish(const state::claim_key& key, std::uint64_t nonce, call_outcome outcome) -> void
    {
        auto* entry = find_running(key, nonce);
        if (entry == nullptr)
            return;
        entry->status_ = status::finished;
        entry->outcome_ = std::move(outcome);
    }

    /// Records that a granted call did not run and will not run under this nonce.
    auto abandon(const state::claim_key& key, std::uint64_t nonce) -> void
    {
        auto* entry = find_running(key, nonce);
        if (entry == nullptr)
            return;
        entry->status_ = status::abandoned;
        entry->abandoned_.insert(nonce);
    }

    /// Records that a granted call may have run and that its outcome is lost.
    auto mark_lost(const state::claim_key& key, std::uint64_t nonce) -> void
    {
        auto* entry = find_running(key, nonce);
        if (entry != nullptr)
            entry->status_ = status::lost;
    }

    /// Returns the state of a claim to another agent that found it in the platform.
    auto state_of(const state::claim_key& key, state::incarnation incarnation, std::uint64_t nonce) const
        -> claimant_reply
    {
        using kind = claimant_reply::kind;
        const auto known = entries_.find(key);
        if (incarnation != incarnation_ || known == entries_.end())
            return {.kind_ = kind::unknown};
        const auto& entry = known->second;
        if (entry.abandoned_.contains(nonce))
            return {.kind_ = kind::abandoned};
        if (entry.nonce_ != nonce)
            return {.kind_ = kind::unknown};
        if (entry.status_ == status::finished)
            return {.kind_ = kind::finished, .outcome_ = entry.outcome_};
        return {.kind_ = entry.status_ == status::lost ? kind::unknown : kind::in_progress};
    }

    auto size() const -> std::size_t { return entries_.size(); }

private:
    enum class status : std::uint8_t { claiming, running, finished, abandoned, lost };

    struct claim_entry {
        state::content_fingerprint content_;
        std::uint64_t nonce_{0};
        status status_{status::claiming};
        call_outcome outcome_;
        std::set<std::uint64_t> abandoned_;
    };

    struct pending_claim {
        state::claim_record record_;
        stored_claim stored_;
        int rounds_{0};
        bool is_uncertain_{false};
    };

    auto begin(claim_ticket ticket, const state::claim_key& key, state::content_fingerprint content) -> void
    {
        auto& pending = add_pending(ticket, key, content);
        port_.create_claim(ticket, pending.record_);
    }

    auto add_pending(claim_ticket ticket, const state::claim_key& key, state::content_fingerprint content)
        -> pending_claim&
    {
        evict_if_full();
        auto& entry = entries_[key];
        entry.content_ = content;
        entry.nonce_ = random_.next();
        entry.status_ = status::claiming;
        auto& pending = pending_[ticket];
        pending.record_ = {.key_ = key,
                           .claimant_ = self_,
                           .claimant_incarnation_ = incarnation_,
                           .nonce_ = entry.nonce_,
                           .claimant_address_ = address_,
                           .content_ = content};
        return pending;
    }

    auto answer_from_entry(claim_ticket ticket, const state::claim_key& key, const claim_entry& entry) -> void
    {
        switch (entry.status_) {
        case status::claiming:
        case status::running:
            settle(ticket, key, claim_verdict_kind::in_progress);
            return;
        case status::finished:
            port_.settle(ticket, claim_verdict{.kind_ = claim_verdict_kind::finished,
                                               .key_ = key,
                                               .nonce_ = entry.nonce_,
                                               .outcome_ = entry.outcome_});
            return;
        case status::lost:
            settle(ticket, key, claim_verdict_kind::unknown);
            return;
        case status::abandoned:
            // Another agent may have taken over the claim in the meantime, so the stored claim decides.
            auto& pending = add_pending(ticket, key, entry.content_);
            port_.read_claim(ticket, pending.record_);
            return;
        }
    }

    auto create_missing_claim(claim_ticket ticket, pending_claim& pending) -> void
    {
        // A create that may still take effect must not be followed by another one with the same nonce.
        if (pending.is_uncertain_) {
            give_up(ticket, pending, claim_verdict_kind::unavailable);
            return;
        }
        port_.create_claim(ticket, pending.record_);
    }

    auto evaluate_stored_claim(claim_ticket ticket, pending_claim& pending) -> void
    {
        const auto& found = pending.stored_.record_;
        if (found.content_ != pending.record_.content_) {
            abandon_and_settle(ticket, pending, claim_verdict_kind::mismatch, {});
            return;
        }
        const auto is_own = found.claimant_ == self_ && found.claimant_incarnation_ == incarnation_;
        if (is_own && found.nonce_ == pending.record_.nonce_) {
            grant(ticket, pending);
            return;
        }
        if (is_own && entries_.at(found.key_).abandoned_.contains(found.nonce_)) {
            port_.replace_claim(ticket, pending.stored_, pending.record_);
            return;
        }
        port_.ask_claimant(ticket, pending.stored_);
    }

    auto grant(claim_ticket ticket, const pending_claim& pending) -> void
    {
        auto& entry = entries_.at(pending.record_.key_);
        verify(entry.status_ == status::claiming && entry.nonce_ == pending.record_.nonce_,
               state::guarantee::at_most_once, "a claim must be granted to one request only");
        verify(!entry.abandoned_.contains(entry.nonce_), state::guarantee::at_most_once,
               "an abandoned claim must not be granted");
        entry.status_ = status::running;
        const auto record = pending.record_;
        pending_.erase(ticket);
        port_.settle(ticket, claim_verdict{.kind_ = claim_verdict_kind::granted,
                                           .key_ = record.key_,
                                           .nonce_ = record.nonce_});
    }

    auto give_up(claim_ticket ticket, const pending_claim& pending, claim_verdict_kind kind) -> void
    {
        const auto key = pending.record_.key_;
        auto& entry = entries_.at(key);
        entry.status_ = status::abandoned;
        entry.abandoned_.insert(entry.nonce_);
        pending_.erase(ticket);
        settle(ticket, key, kind);
    }

    /// Ends a request whose claim belongs to another request. Own writes under the nonce may still take
    /// effect, so the nonce is kept as abandoned.
    auto abandon_and_settle(claim_ticket ticket, const pending_claim& pending, claim_verdict_kind kind,
                            call_outcome outcome) -> void
    {
        const auto key = pending.record_.key_;
        auto& entry = entries_.at(key);
        entry.status_ = status::abandoned;
        entry.abandoned_.insert(entry.nonce_);
        pending_.erase(ticket);
        port_.settle(ticket, claim_verdict{.kind_ = kind, .key_ = key, .outcome_ = std::move(outcome)});
    }

    auto settle(claim_ticket ticket, const state::claim_key& key, claim_verdict_kind kind) -> void
    {
        port_.settle(ticket, claim_verdict{.kind_ = kind, .key_ = key});
    }

    auto find_pending(claim_ticket ticket) -> pending_claim*
    {
        const auto found = pending_.find(ticket);
        return found == pending_.end() ? nullptr : &found->second;
    }

    auto find_running(const state::claim_key& key, std::uint64_t nonce) -> claim_entry*
    {
        const auto found = entries_.find(key);
        if (found == entries_.end() || found->second.nonce_ != nonce ||
            found->second.status_ != status::running)
            return nullptr;
        return &found->second;
    }

    /// Evicts one ended entry when the table is full. An evicted claim reads as unknown, never as not run.
    auto evict_if_full() -> void
    {
        if (entries_.size() < max_entries)
            return;
        for (auto candidate = entries_.begin(); candidate != entries_.end(); ++candidate) {
            const auto is_active =
                candidate->second.status_ == status::claiming || candidate->second.status_ == status::running;
            if (is_active)
                continue;
            entries_.erase(candidate);
            return;
        }
    }

    static constexpr std::size_t max_entries{20'000};
    static constexpr int max_rounds{4};

    Port& port_;
    Random& random_;
    state::instance_id self_;
    state::incarnation incarnation_;
    state::network_address address_;
    std::map<state::claim_key, claim_entry> entries_;
    std::map<claim_ticket, pending_claim> pending_;
};

} // namespace buckthorndale::coordination::claims
