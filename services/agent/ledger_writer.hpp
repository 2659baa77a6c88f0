#pragma once

#include "agent/agent_state.hpp"
#include "agent/ledger_reading.hpp"
#include "coordination/billing/bill_deduplicator.hpp"
#include "coordination/billing/written_ranges.hpp"
#include "protocol/rpc/messages.hpp"
#include "transport/logging/logger.hpp"

#include <optional>
#include <vector>

namespace buckthorndale::services::agent {

/// Holds bill records and writes them to the platform in segments.
class ledger_writer {
public:
    explicit ledger_writer(agent_state& shared) : shared_{shared} {}

    auto start() -> void;

    /// Stores a record until it is written. Returns whether it is held now.
    auto hold(const protocol::rpc::hold_bill_request& message) -> bool;

    /// Drops the copies of records that another agent has written.
    auto release(const coordination::billing::written_ranges& written) -> void
    {
        shared_.bill_table_.release(written);
    }

    /// Number of records that would be lost if this agent stopped now.
    auto unsaved_count() const -> std::size_t { return are_handed_over_ ? 0 : shared_.bill_table_.size(); }

    /// Reads the complete ledger but for what cannot be read. Returns nothing when the platform does not
    /// respond.
    auto read_ledger() -> transport::http::awaitable<std::optional<ledger_reading>>;

private:
    /// Adds the bills of an object. Logs and counts one that cannot be read.
    auto add_segment(const transport::platform::stored_object& object, ledger_reading& ledger) const -> void;
    auto write_segments() -> transport::http::awaitable<void>;
    auto write_segment(const coordination::billing::bill_segment& segment)
        -> transport::http::awaitable<void>;
    auto notify_backups(const coordination::billing::written_ranges& written) -> void;

    /// Copies all records to other instances, for a shutdown during a platform outage.
    auto hand_over() -> transport::http::awaitable<void>;
    auto hand_over(state::bill_record record, std::vector<state::network_address> peers)
        -> transport::http::awaitable<bool>;

    /// The agents of the other instances that can hold copies, preferred first.
    auto peers_by_placement() const -> std::vector<state::network_address>;
    auto notify_backup(state::network_address peer, coordination::billing::written_ranges written)
        -> transport::http::awaitable<void>;

    agent_state& shared_;
    bool are_handed_over_{false};
    transport::logging::logger log_{"ledger"};
};

} // namespace buckthorndale::services::agent
