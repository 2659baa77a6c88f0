#pragma once

#include "coordination/claims/claim_verdict.hpp"
#include "state/claim_record.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthorndale::coordination::claims {

/// Identifies one request for a claim within an agent.
using claim_ticket = state::strong_number<struct claim_ticket_tag, std::uint64_t>;

/// The result of a conditional write.
enum class write_result : std::uint8_t {
    /// The write took effect.
    written,
    /// The condition did not hold.
    refused,
    /// There was no response; the write may have taken effect, or may still do so.
    uncertain,
};

/// A claim as stored in the platform, with the entity tag for a conditional update.
struct stored_claim {
    state::claim_record record_;
    std::string tag_;
};

/// The result of reading a claim.
struct claim_read_result {
    /// False when the platform could not be reached.
    bool is_available_{false};
    std::optional<stored_claim> claim_;
};

/// A claimant's reply about a claim that it created.
struct claimant_reply {
    enum class kind : std::uint8_t {
        finished,
        in_progress,
        /// The claimant never dispatched the call under this nonce and never will.
        abandoned,
        /// The claimant does not know, or cannot be reached.
        unknown,
    };

    kind kind_{kind::unknown};
    call_outcome outcome_;
};

/// The operations that the claim manager requires. Each result is passed to the member function named below.
template <typename Type>
concept claim_port = requires(Type& port, claim_ticket ticket, const state::claim_record& record,
                              const stored_claim& stored, const claim_verdict& verdict) {
    /// Creates the claim if there is none; the result goes to claim_manager::written.
    port.create_claim(ticket, record);
    /// Replaces the claim if it is unchanged; the result goes to claim_manager::written.
    port.replace_claim(ticket, stored, record);
    /// Reads the claim of the record's key; the result goes to claim_manager::was_read.
    port.read_claim(ticket, record);
    /// Asks the claimant of a stored claim; the reply goes to claim_manager::claimant_answered.
    port.ask_claimant(ticket, stored);
    /// Ends the request for the claim with a verdict.
    port.settle(ticket, verdict);
};

} // namespace buckthorndale::coordination::claims
