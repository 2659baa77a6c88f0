#pragma once

#include "coordination/claims/claim_port.hpp"
#include "state/claim_record.hpp"

namespace buckthorndale::coordination::claims {

/// A claim port that forwards each call to a service, so that the claim manager can be its member.
template <typename Service>
class claim_port_reference {
public:
    explicit claim_port_reference(Service& service) : service_{service} {}

    auto create_claim(claim_ticket ticket, const state::claim_record& record) const -> void
    {
        service_.create_claim(ticket, record);
    }

    auto replace_claim(claim_ticket ticket, const stored_claim& stored,
                       const state::claim_record& record) const -> void
    {
        service_.replace_claim(ticket, stored, record);
    }

    auto read_claim(claim_ticket ticket, const state::claim_record& record) const -> void
    {
        service_.read_claim(ticket, record);
    }

    auto ask_claimant(claim_ticket ticket, const stored_claim& stored) const -> void
    {
        service_.ask_claimant(ticket, stored);
    }

    auto settle(claim_ticket ticket, const claim_verdict& verdict) const -> void
    {
        service_.settle(ticket, verdict);
    }

private:
    Service& service_;
};

} // namespace buckthorndale::coordination::claims
