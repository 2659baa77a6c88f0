#pragma once

#include "coordination/forwarding/forward_attempt_result.hpp"
#include "coordination/forwarding/forward_engine.hpp"
#include "front/forwarded_call.hpp"
#include "platform/endpoint_codec.hpp"
#include "protocol/event_stream/raw_splitter.hpp"
#include "transport/http/answer_memory.hpp"
#include "transport/http/client.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace buckthorndale::services::front {

/// Runs attempts: sends the request to an endpoint and relays its answer to the caller.
class forward_runner {
public:
    using headers_callback = std::function<void(const coordination::forwarding::response_headers&)>;

    explicit forward_runner(transport::http::client& client) : client_{client} {}

    /// Runs an attempt to its end. The callback is called with the response headers of a successful answer,
    /// and before that with the notice in the headers of any answer.
    auto run(std::shared_ptr<forwarded_call> call, std::shared_ptr<forward_attempt> attempt,
             headers_callback on_headers)
        -> transport::http::awaitable<coordination::forwarding::forward_attempt_result>;

private:
    /// State of one run.
    struct progress {
        forwarded_call& call_;
        forward_attempt& attempt_;
        headers_callback on_headers_;
        coordination::forwarding::forward_attempt_result result_;
        protocol::event_stream::raw_splitter splitter_;
        transport::http::answer_memory::share buffered_;
        bool has_received_events_{false};
        state::time_point headers_received_at_;
    };

    auto send_and_receive(progress& state) -> transport::http::awaitable<void>;
    /// The headers of the answer for the caller.
    static auto answer_headers(const progress& state) -> transport::http::response;
    auto handle_headers(progress& state, const platform::endpoint_response_headers& headers)
        -> transport::http::awaitable<bool>;
    auto read_complete_answer(progress& state) -> transport::http::awaitable<void>;
    auto relay_stream(progress& state) -> transport::http::awaitable<void>;
    /// An answer that ends with its connection counts as broken if its endpoint has gone or has reset the
    /// connection.
    auto check_end(progress& state) -> transport::http::awaitable<void>;
    auto relay_event(progress& state, protocol::event_stream::raw_event event) -> void;
    auto classify_fault(progress& state, transport::http::client_fault fault)
        -> transport::http::awaitable<void>;

    /// In bytes; leaves most of an instance's memory to its other work.
    static constexpr std::size_t max_buffered_bytes{8'388'608};

    transport::process::system_clock clock_;
    transport::logging::logger log_{"network"};
    transport::http::client& client_;
    transport::http::answer_memory memory_{max_buffered_bytes};
};

} // namespace buckthorndale::services::front
