#include <utility>

#include "agent/configuration_editor.hpp"

#include "coordination/configuration/apply_change.hpp"
#include "coordination/configuration/change_conflict.hpp"
#include "protocol/codec/configuration_codec.hpp"
#include "protocol/json/text.hpp"
#include "protocol/platform/object_names.hpp"
#include "state/error.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace names = protocol::platform;
using coordination::configuration::change_subject;
using state::error;
using state::error_kind;
using transport::platform::put_result;

namespace {

constexpr auto max_races = 20;
constexpr auto max_tries = 5;
constexpr auto retry_interval = std::chrono::milliseconds{200};

auto change_from_text(const std::string& text) -> state::configuration_change
{
    const auto value = protocol::json::parse(text, error_kind::platform_unavailable);
    return protocol::codec::read_change({value, "", error_kind::platform_unavailable});
}

} // namespace

auto configuration_editor::edit(edit_request request) -> http::awaitable<state::generation>
{
    for (auto race = 0; race < max_races; ++race) {
        const auto is_reachable = co_await synchroniser_.catch_up();
        if (!is_reachable)
            throw error{error_kind::platform_unavailable,
                        "The platform does not respond; nothing was changed.",
                        "Try again with the same change id."};
        if (const auto accepted = find_accepted(request.id_))
            co_return *accepted;
        if (request.based_on_)
            coordination::configuration::check_conflict(shared_.replica_, *request.based_on_,
                                                        request.content_);
        const auto current = shared_.replica_.current();
        const auto change = state::configuration_change{.generation_ = current->generation_.next(),
                                                        .id_ = request.id_,
                                                        .author_ = request.author_,
                                                        .made_at_ = shared_.clock_.wall_now(),
                                                        .previous_chain_ = current->chain_,
                                                        .content_ = request.content_};
        coordination::configuration::check_change(*current, change);
        const auto result = co_await try_append(change);
        if (result == try_result::unknown)
            throw error{error_kind::outcome_unknown,
                        "The platform did not confirm whether the change was accepted.",
                        "Send it again with the same change id; the change is applied at most once."};
        if (result == try_result::lost_race)
            continue;
        shared_.replica_.offer_change(change);
        synchroniser_.broadcast_change();
        log_.info("Accepted " + change_subject(change.content_) + " by " + change.author_ +
                  " as generation " + std::to_string(change.generation_.value()) + ".");
        co_return change.generation_;
    }
    throw error{error_kind::conflict, "Concurrent changes were accepted first in every try.",
                "Try again with the same change id."};
}

auto configuration_editor::find_accepted(const state::change_id& id) const -> std::optional<state::generation>
{
    for (const auto& change : shared_.replica_.changes_after(state::generation{})) {
        if (change.id_ == id)
            return change.generation_;
    }
    return std::nullopt;
}

auto configuration_editor::try_append(const state::configuration_change& change)
    -> http::awaitable<try_result>
{
    const auto text = protocol::json::to_text(protocol::codec::to_json(change));
    for (auto tried = 0; tried < max_tries; ++tried) {
        const auto result = co_await try_append_once(change, text);
        if (result)
            co_return *result;
        auto timer = http::asio::steady_timer{shared_.context_, retry_interval};
        co_await timer.async_wait(http::asio::use_awaitable);
    }
    co_return try_result::unknown;
}

auto configuration_editor::try_append_once(const state::configuration_change& change, const std::string& text)
    -> http::awaitable<std::optional<try_result>>
{
    const auto name = names::change_name(change.generation_);
    const auto written = co_await shared_.platform_.create(name, text);
    if (written == put_result::written)
        co_return try_result::accepted;
    // Either the name is taken or the response was lost: the stored object tells which.
    const auto reading = co_await shared_.platform_.read(name);
    if (!reading.is_available_ || !reading.object_)
        co_return std::nullopt;
    const auto is_own = change_from_text(reading.object_->value_).id_ == change.id_;
    co_return is_own ? try_result::accepted : try_result::lost_race;
}

} // namespace buckthorndale::services::agent
