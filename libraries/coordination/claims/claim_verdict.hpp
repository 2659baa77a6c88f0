#pragma once

#include "state/claim_key.hpp"

#include <cstdint>
#include <string>

/// The right to run a non-idempotent call, held by at most one request at a time.
namespace buckthorndale::coordination::claims {

enum class claim_verdict_kind : std::uint8_t {
    /// The request may run the call.
    granted,
    /// The call has already run to completion; the outcome is included.
    finished,
    /// Another request holds the claim and is still in progress.
    in_progress,
    /// The call may have run, but its outcome is lost.
    unknown,
    /// The claim could not be made; the call did not run for this request.
    unavailable,
    /// The key was already used for a call with different content.
    mismatch,
};

auto to_string(claim_verdict_kind kind) -> std::string;

/// The outcome of a finished call, kept so that it can be returned to a resend.
struct call_outcome {
    std::uint16_t status_{0};
    std::string content_type_;
    std::string body_;

    auto operator==(const call_outcome&) const -> bool = default;
};

/// The response to a request for a claim.
struct claim_verdict {
    claim_verdict_kind kind_{claim_verdict_kind::unavailable};
    state::claim_key key_;
    /// Identifies a granted claim when its result is reported.
    std::uint64_t nonce_{0};
    /// Set if the call has finished.
    call_outcome outcome_;
};

} // namespace buckthorndale::coordination::claims
