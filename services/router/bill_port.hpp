#pragma once

#include "coordination/billing/bill_replicator.hpp"
#include "state/bill_record.hpp"
#include "state/identifiers.hpp"

#include <functional>

namespace buckthorndale::services::router {

/// Passes the bill replicator's actions to the control worker.
struct bill_port {
    std::function<void(const state::instance_id&, const state::bill_record&)> send_;
    std::function<void(const state::bill_record&, bool)> complete_;

    auto send_copy(const state::instance_id& holder, const state::bill_record& record) const -> void
    {
        send_(holder, record);
    }

    auto copies_complete(const state::bill_record& record, bool is_degraded) const -> void
    {
        complete_(record, is_degraded);
    }
};

static_assert(coordination::billing::replicator_port<bill_port>);

} // namespace buckthorndale::services::router
