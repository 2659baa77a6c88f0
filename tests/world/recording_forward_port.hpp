#pragma once

#include "coordination/forwarding/forward_port.hpp"

#include <string>
#include <vector>

namespace buckthorndale::tests::world {

namespace forwarding = coordination::forwarding;

/// Records the engine's calls.
struct recording_forward_port {
    std::vector<forwarding::forward_command> commands_;
    std::vector<state::attempt_handle> cancelled_;
    std::vector<state::attempt_handle> released_;
    std::vector<state::attempt_handle> finished_;
    std::vector<coordination::routing::refusal> refusals_;
    std::vector<forwarding::leaving_endpoint> announced_;
    std::vector<state::endpoint_id> identified_;
    std::vector<state::endpoint_id> probed_;

    auto dispatch(const forwarding::forward_command& command) -> void { commands_.push_back(command); }

    auto cancel(state::attempt_handle attempt) -> void { cancelled_.push_back(attempt); }

    auto release(state::request_handle /*request*/, state::attempt_handle attempt) -> void
    {
        released_.push_back(attempt);
    }

    auto finish(state::request_handle /*request*/, state::attempt_handle attempt) -> void
    {
        finished_.push_back(attempt);
    }

    auto refuse(state::request_handle /*request*/, const coordination::routing::refusal& why) -> void
    {
        refusals_.push_back(why);
    }

    auto announce_crash(const forwarding::crash_notice& /*crash*/) -> void {}

    auto announce_cleared_parts(const std::vector<forwarding::cleared_part>& /*cleared*/) -> void {}

    auto announce_blocked_parts(const std::vector<coordination::suspicion::blocked_part>& /*blocked*/) -> void
    {}

    auto identify(const state::endpoint_id& endpoint, const state::network_address& /*address*/,
                  const std::string& /*path*/) -> void
    {
        identified_.push_back(endpoint);
    }

    auto probe(const state::endpoint_id& endpoint, const state::network_address& /*address*/,
               const std::string& /*path*/) -> void
    {
        probed_.push_back(endpoint);
    }

    auto announce_limits(const forwarding::limit_message& /*message*/) -> void {}

    auto ask_for_permits(const forwarding::limit_message& /*message*/) -> void {}

    auto send_limits(const state::instance_id& /*to*/, const forwarding::limit_message& /*message*/) -> void
    {}

    auto announce_leaving(const forwarding::leaving_endpoint& leaving) -> void
    {
        announced_.push_back(leaving);
    }

    auto log(const forwarding::forward_log& /*line*/) -> void {}
};

} // namespace buckthorndale::tests::world
