#pragma once

#include "coordination/forwarding/forward_command.hpp"
#include "front/answer_queue.hpp"
#include "state/identifiers.hpp"
#include "transport/http/caller_share.hpp"
#include "transport/http/client.hpp"
#include "transport/http/types.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace buckthorndale::services::front {

/// The network worker's state of one attempt.
struct forward_attempt {
    forward_attempt(transport::http::asio::io_context& context,
                    coordination::forwarding::forward_command command)
        : command_{std::move(command)},
          release_timer_{context, transport::http::asio::steady_timer::time_point::max()}
    {}

    coordination::forwarding::forward_command command_;
    std::unique_ptr<transport::http::response_stream> stream_;
    bool is_cancelled_{false};
    /// Whether the answer may be sent to the caller.
    bool is_released_{false};
    /// Never expires; cancelled to wake the attempt when its answer is released or the attempt is cancelled.
    transport::http::asio::steady_timer release_timer_;
    /// The complete answer, unless it is streamed.
    std::optional<transport::http::response> answer_;
    /// Whether the next part of a streamed answer is awaited from the endpoint.
    bool is_awaiting_stream_{false};
    /// How long nothing has arrived while it was awaited. Grows only while this process runs, so that a pause
    /// of the process is not mistaken for one of the endpoint.
    state::duration silent_for_{0};
    /// The silence at which the attempt is next reported as stalled.
    state::duration next_stall_report_{0};
};

/// The network worker's state of one caller's request.
struct forwarded_call {
    forwarded_call(transport::http::asio::io_context& context, state::request_handle handle,
                   transport::http::request message, std::shared_ptr<transport::http::caller_share> share,
                   bool is_relayed)
        : handle_{handle}, message_{std::move(message)}, share_{std::move(share)},
          output_{context, max_queued_items, max_queued_bytes}, is_relayed_{is_relayed}
    {}

    /// Puts the queued answer on account. A caller that does not read it gives way when there is no more
    /// memory.
    auto hold_queue() -> void
    {
        if (!share_->try_hold(transport::http::held_part::queue, output_.queued_bytes()))
            share_->evict();
    }

    state::request_handle handle_;
    transport::http::request message_;
    /// What the call holds of the memory for callers, as long as an attempt may use its message.
    std::shared_ptr<transport::http::caller_share> share_;
    answer_queue output_;
    /// Whether the caller is another instance.
    bool is_relayed_{false};
    std::map<state::attempt_handle, std::shared_ptr<forward_attempt>> attempts_;
    /// Whether the response headers of a stream were queued for the caller.
    bool has_sent_headers_{false};
    /// Id of the last event that was queued for the caller.
    std::string last_event_;
    /// Whether the decision worker has finished or refused the request and forgotten it.
    bool is_decided_{false};
    state::time_point arrived_at_;
};

} // namespace buckthorndale::services::front
