#pragma once

#include "coordination/forwarding/forward_ending.hpp"
#include "coordination/forwarding/forward_engine.hpp"
#include "front/forwarded_call.hpp"
#include "platform/endpoint_codec.hpp"
#include "protocol/event_stream/raw_splitter.hpp"
#include "transport/http/client.hpp"
#include "transport/process/clock.hpp"

#include <functional>
#include <memory>

namespace buckthorndale::services::front {

/// Runs attempts: sends the request to an endpoint and passes on what comes back.
class forward_runner {
public:
    using head_callback = std::function<void(const coordination::forwarding::answer_head&)>;

    explicit forward_runner(transport::http::client& client) : client_{client} {}

    /// Runs an attempt to its end. The callback hears of a successful answer's head.
    auto run(std::shared_ptr<forwarded_call> call, std::shared_ptr<forward_attempt> attempt,
             head_callback on_head) -> transport::http::awaitable<coordination::forwarding::forward_ending>;

private:
    /// What one run carries from step to step.
    struct progress {
        forwarded_call& call_;
        forward_attempt& attempt_;
        head_callback on_head_;
        coordination::forwarding::forward_ending ending_;
        protocol::event_stream::raw_splitter splitter_;
        state::time_point head_at_;
    };

    auto run_checked(progress& state) -> transport::http::awaitable<void>;
    auto judge_head(progress& state, const platform::endpoint_response_headers& head)
        -> transport::http::awaitable<bool>;
    auto read_whole(progress& state) -> transport::http::awaitable<void>;
    auto follow_stream(progress& state) -> transport::http::awaitable<void>;
    auto give_out(progress& state, protocol::event_stream::raw_event event) -> void;
    auto judge_fault(progress& state, transport::http::client_fault fault)
        -> transport::http::awaitable<void>;

    transport::process::system_clock clock_;
    transport::http::client& client_;
};

} // namespace buckthorndale::services::front
