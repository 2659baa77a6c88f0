#include <utility>

#include "agent/evidence_service.hpp"

#include "protocol/rpc/message_codec.hpp"
#include "protocol/rpc/method_names.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace rpc = protocol::rpc;
namespace roll_out = coordination::roll_out;

namespace {

constexpr auto exchange_interval = std::chrono::seconds{2};
/// Messages between roots are larger than those from members to their parents, so they are sent less often.
constexpr auto rounds_between_root_exchanges = 10;
constexpr auto peer_timeout = state::duration{std::chrono::milliseconds{500}};

} // namespace

auto evidence_service::start() -> void
{
    http::asio::co_spawn(shared_.context_, run(), http::asio::detached);
}

auto evidence_service::run() -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{shared_.context_};
    while (true) {
        timer.expires_after(exchange_interval);
        co_await timer.async_wait(http::asio::use_awaitable);
        const auto& data_centre = shared_.settings_.data_centre_;
        auto ancestors =
            roll_out::ancestors_of(shared_.settings_.instance_, data_centre, shared_.instance_list_.members_);
        if (!ancestors.empty()) {
            co_await send_to_parent(std::move(ancestors));
        } else {
            tree_.apply_unsent();
            const auto is_root_exchange_due = ++rounds_ % rounds_between_root_exchanges == 0;
            if (is_root_exchange_due)
                co_await exchange_with_roots(
                    roll_out::other_roots(data_centre, shared_.instance_list_.members_));
        }
        update_version_guard();
    }
}

auto evidence_service::send_to_parent(std::vector<state::member> ancestors) -> http::awaitable<void>
{
    auto message = rpc::add_evidence_request{};
    message.increments_ = tree_.take_unsent();
    for (const auto& ancestor : ancestors) {
        try {
            const auto result = co_await shared_.rpc_.call(ancestor.agent_, rpc::add_evidence,
                                                           rpc::to_json(message), peer_timeout);
            tree_.update_from_parent(rpc::read_evidence_report(result));
            co_return;
        } catch (const http::client_error& fault) {
            // Increments that may have arrived are not sent again, so that they are not counted twice.
            if (fault.fault() != http::client_fault::not_sent)
                co_return;
        } catch (const state::error&) {
            co_return;
        }
    }
    tree_.add_increments(message.increments_);
}

auto evidence_service::exchange_with_roots(std::vector<state::member> roots) -> http::awaitable<void>
{
    for (auto& root : roots)
        co_await exchange_with_root(std::move(root));
}

auto evidence_service::exchange_with_root(state::member root) -> http::awaitable<void>
{
    const auto message = rpc::to_json(tree_.own_data_centre());
    try {
        const auto result =
            co_await shared_.rpc_.call(root.agent_, rpc::swap_evidence, message, peer_timeout);
        tree_.update_from_root(rpc::read_evidence_report(result));
    } catch (const http::client_error&) {
        // The next exchange with an unreachable data centre includes the counts added meanwhile.
    } catch (const state::error&) {
        // The peer runs an older release that does not know this message yet.
    }
}

auto evidence_service::update_version_guard() -> void
{
    shared_.version_guard_.update_sums(tree_.sums());
}

auto evidence_service::add_router_counts(const report& counts) -> report
{
    tree_.add_router_report(counts);
    return tree_.sums();
}

auto evidence_service::answer_child(const rpc::add_evidence_request& request) -> report
{
    tree_.add_increments(request.increments_);
    return tree_.sums();
}

auto evidence_service::answer_root(const report& sums) -> report
{
    tree_.update_from_root(sums);
    return tree_.own_data_centre();
}

} // namespace buckthorndale::services::agent
