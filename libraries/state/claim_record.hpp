#pragma once

#include "state/claim_key.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"

#include <cstdint>

namespace buckthorndale::state {

/// The right to run a non-idempotent call, as stored in the platform.
struct claim_record {
    claim_key key_;
    instance_id claimant_;
    incarnation claimant_incarnation_;
    /// Drawn at random for each try, so that a claimant recognises its own write after a lost response.
    std::uint64_t nonce_{0};
    /// The address at which the claimant's agent answers queries about the claim.
    network_address claimant_address_;
    /// A resend with different content under the same key is refused.
    content_fingerprint content_;

    auto operator==(const claim_record&) const -> bool = default;
};

} // namespace buckthorndale::state
