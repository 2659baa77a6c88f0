#pragma once

#include "coordination/forwarding/forward_engine.hpp"
#include "coordination/time/seeded_random.hpp"
#include "world/recording_forward_port.hpp"
#include "world/scheduler.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace buckthorndale::tests::world {

using namespace std::chrono_literals;

/// An engine with one streaming route over two models, and six endpoints, two of which run a new version.
struct forward_fixture {
    explicit forward_fixture(bool uses_latency_window = true)
        : engine_{clock_, random_, port_,
                  forwarding::forward_settings{.uses_latency_window_ = uses_latency_window}}
    {
        configure(1, {.name_ = "inquiry",
                      .host_ = "h",
                      .path_prefix_ = "/",
                      .kind_ = state::request_kind::stream,
                      .time_limit_ = 20s,
                      .latency_objective_ = 2s,
                      .max_attempts_ = 3,
                      .is_resumable_ = true,
                      .models_ = {state::model_name{"small"}, state::model_name{"large"}},
                      .targets_ = {{.service_ = service_}}});
        auto endpoints = std::vector<state::registered_endpoint>{};
        for (auto number = 1; number <= 6; ++number)
            endpoints.push_back({.id_ = state::endpoint_id{"e" + std::to_string(number)},
                                 .service_ = service_,
                                 .version_ = state::version_name{number <= 4 ? "v1" : "v2"},
                                 .slots_ = 8,
                                 .registered_at_ = static_cast<std::uint64_t>(number)});
        engine_.update_endpoints(endpoints);
    }

    /// Replaces the route by one without models whose requests are tried once.
    auto set_route(state::request_kind kind, bool is_resumable) -> void
    {
        configure(2, {.name_ = "plain",
                      .host_ = "h",
                      .path_prefix_ = "/",
                      .kind_ = kind,
                      .max_attempts_ = 1,
                      .is_resumable_ = is_resumable,
                      .targets_ = {{.service_ = service_}}});
    }

    auto configure(std::uint64_t generation, state::route route) -> void
    {
        auto table = std::make_shared<state::routing_table>();
        table->generation_ = state::generation{generation};
        table->routes_ = {std::move(route)};
        engine_.configure(table);
    }

    auto send_request(std::uint64_t handle, const std::string& session = "", std::int64_t tokens = 1,
                      const std::vector<forwarding::prompt_part>& parts = {}) -> void
    {
        engine_.arrive(state::request_handle{handle}, {.id_ = state::request_id{"r" + std::to_string(handle)},
                                                       .host_ = "h",
                                                       .path_ = "/x",
                                                       .time_allowed_ = 15s,
                                                       .router_chooses_model_ = true,
                                                       .prompt_tokens_ = state::token_count{tokens},
                                                       .prompt_ = parts,
                                                       .session_ = state::session_id{session}});
    }

    auto receive_headers(std::int32_t confidence) -> void
    {
        engine_.response_headers_received(
            {.attempt_ = port_.commands_.back().attempt_, .confidence_ = confidence});
    }

    auto end_attempt(forwarding::forward_outcome outcome, const std::string& last_event = "") -> void
    {
        engine_.attempt_ended(
            {.attempt_ = port_.commands_.back().attempt_, .outcome_ = outcome, .last_event_ = last_event});
    }

    auto report_stall(const std::string& last_event) -> void
    {
        engine_.attempt_stalled({.attempt_ = port_.commands_.back().attempt_,
                                 .last_event_ = last_event,
                                 .silent_for_ = port_.commands_.back().stall_threshold_});
    }

    /// Receives a notice in the headers of the last attempt's response.
    auto receive_notice(const forwarding::endpoint_notice& notice) -> void
    {
        const auto& command = port_.commands_.back();
        engine_.response_headers_received({.attempt_ = command.attempt_,
                                           .endpoint_ = command.endpoint_,
                                           .notice_ = notice,
                                           .is_success_ = false});
    }

    /// Ends the last attempt, whose endpoint asked for a pause.
    auto end_paused(forwarding::forward_outcome outcome) -> void
    {
        engine_.attempt_ended(
            {.attempt_ = port_.commands_.back().attempt_, .outcome_ = outcome, .has_asked_for_pause_ = true});
    }

    auto wait(state::duration time) -> void { time_.run_until(time_.now() + time); }

    state::service_name service_{"advice"};
    scheduler time_;
    virtual_clock clock_{time_};
    coordination::time::seeded_random random_{5};
    recording_forward_port port_;
    forwarding::forward_engine<virtual_clock, coordination::time::seeded_random, recording_forward_port>
        engine_;
};

} // namespace buckthorndale::tests::world
