#include <utility>

#include "agent/ledger_writer.hpp"

#include "coordination/billing/replication_factor.hpp"
#include "coordination/placement/holder_order.hpp"
#include "protocol/codec/bill_codec.hpp"
#include "protocol/json/text.hpp"
#include "protocol/platform/object_names.hpp"
#include "protocol/rpc/message_codec.hpp"
#include "protocol/rpc/method_names.hpp"
#include "state/error.hpp"
#include "transport/logging/log_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ranges>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace billing = coordination::billing;
namespace names = protocol::platform;
namespace rpc = protocol::rpc;

namespace {

constexpr auto write_interval = std::chrono::milliseconds{200};
constexpr auto outage_retry_interval = std::chrono::seconds{1};
constexpr auto peer_timeout = state::duration{std::chrono::milliseconds{500}};
/// Copies are normally held by the first two other instances; two more are notified in case those were
/// skipped.
constexpr auto notified_backups = 4;
constexpr auto page_size = std::size_t{100};

} // namespace

auto ledger_writer::start() -> void
{
    http::asio::co_spawn(shared_.context_, write_segments(), http::asio::detached);
}

auto ledger_writer::hold(const rpc::hold_bill_request& message) -> bool
{
    are_handed_over_ = false;
    const auto role = message.is_primary_ ? billing::holder_role::primary : billing::holder_role::backup;
    return shared_.bill_table_.try_add(message.record_, role, shared_.clock_.now());
}

auto ledger_writer::write_segments() -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{shared_.context_};
    while (true) {
        timer.expires_after(write_interval);
        co_await timer.async_wait(http::asio::use_awaitable);
        const auto has_segment =
            shared_.bill_table_.open_segment().has_value() ||
            shared_.bill_table_.try_seal(shared_.clock_.now(), shared_.is_shutting_down_).has_value();
        if (has_segment)
            co_await write_segment(*shared_.bill_table_.open_segment());
    }
}

auto ledger_writer::write_segment(const billing::bill_segment& segment) -> http::awaitable<void>
{
    const auto text = protocol::json::to_text(protocol::codec::to_json(segment));
    const auto result = co_await shared_.platform_.create(names::segment_name(segment), text);
    if (result == transport::platform::put_result::uncertain) {
        if (shared_.is_shutting_down_)
            co_await hand_over();
        auto timer = http::asio::steady_timer{shared_.context_, outage_retry_interval};
        co_await timer.async_wait(http::asio::use_awaitable);
        co_return;
    }
    // A refusal means that an earlier try succeeded: no other writer uses this name.
    const auto count = segment.records_.size();
    const auto written = billing::to_ranges(shared_.bill_table_.mark_written());
    log_.info("Wrote a segment of " + std::to_string(count) + " records.");
    notify_backups(written);
}

auto ledger_writer::hand_over() -> http::awaitable<void>
{
    const auto peers = peers_by_placement();
    auto records = shared_.bill_table_.records();
    // Cleared again by hold() if a record arrives meanwhile.
    are_handed_over_ = true;
    for (auto& record : records) {
        const auto is_held = co_await hand_over(std::move(record), peers);
        if (is_held)
            continue;
        are_handed_over_ = false;
        log_.warn("No other instance accepted the records.");
        co_return;
    }
    log_.info("Handed " + std::to_string(records.size()) + " records over to other instances.");
}

auto ledger_writer::hand_over(state::bill_record record, std::vector<state::network_address> peers)
    -> http::awaitable<bool>
{
    const auto message = rpc::to_json(rpc::hold_bill_request{.record_ = std::move(record)});
    auto copies = std::size_t{0};
    for (const auto& peer : peers) {
        try {
            const auto result = co_await shared_.rpc_.call(peer, rpc::hold_bill, message, peer_timeout);
            copies += rpc::read_is_held(result) ? 1 : 0;
        } catch (const http::client_error&) {
            // The next peer is tried.
        } catch (const state::error& fault) {
            log_.warn(fault.what());
        }
        if (copies >= billing::replication_factor)
            break;
    }
    co_return copies > 0;
}

auto ledger_writer::peers_by_placement() const -> std::vector<state::network_address>
{
    const auto order = coordination::placement::holder_order(
        shared_.settings_.instance_, shared_.settings_.data_centre_, shared_.instance_list_.members_);
    auto peers = std::vector<state::network_address>{};
    for (const auto& id : order) {
        const auto member = std::ranges::find(shared_.instance_list_.members_, id, &state::member::id_);
        if (member != shared_.instance_list_.members_.end() && id != shared_.settings_.instance_)
            peers.push_back(member->agent_);
    }
    return peers;
}

auto ledger_writer::notify_backups(const billing::written_ranges& written) -> void
{
    for (const auto& peer : peers_by_placement() | std::views::take(notified_backups))
        http::asio::co_spawn(shared_.context_, notify_backup(peer, written), http::asio::detached);
}

auto ledger_writer::notify_backup(state::network_address peer, billing::written_ranges written)
    -> http::awaitable<void>
{
    try {
        co_await shared_.rpc_.call(peer, rpc::bills_written, rpc::to_json(written), peer_timeout);
    } catch (const http::client_error&) {
        // A backup that is not notified writes its copies as well; the reader folds duplicates.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto ledger_writer::add_segment(const transport::platform::stored_object& object,
                                ledger_reading& ledger) const -> void
{
    try {
        const auto value = protocol::json::parse(object.value_, state::error_kind::platform_unavailable);
        const auto segment =
            protocol::codec::read_bill_segment({value, "", state::error_kind::platform_unavailable});
        for (const auto& record : segment.records_)
            ledger.bills_.add(record);
    } catch (const state::error& fault) {
        ++ledger.unreadable_;
        log_.error("The segment " + transport::logging::field_text(object.name_) +
                   " of the ledger cannot be read; its bills are left out. " + fault.what());
    }
}

auto ledger_writer::read_ledger() -> http::awaitable<std::optional<ledger_reading>>
{
    auto ledger = ledger_reading{};
    auto after = std::string{};
    while (true) {
        const auto page = co_await shared_.platform_.list(names::ledger_prefix, after, page_size);
        if (!page.is_available_)
            co_return std::nullopt;
        for (const auto& object : page.objects_) {
            add_segment(object, ledger);
            after = object.name_;
        }
        if (page.objects_.size() < page_size)
            co_return ledger;
    }
}

} // namespace buckthorndale::services::agent
