#include <utility>

#include "transport/http/server.hpp"

#include "protocol/caller/problem.hpp"
#include "state/error.hpp"
#include "transport/http/caller_share.hpp"
#include "transport/http/held_body.hpp"
#include "transport/logging/failure_log.hpp"
#include "transport/logging/logger.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>

namespace buckthorndale::transport::http {

namespace {

using asio::use_awaitable;

auto log() -> const logging::logger&
{
    static const auto instance = logging::logger{"http"};
    return instance;
}

/// Delay after a failed accept(), for example when file descriptors ran out.
constexpr auto accept_retry_interval = std::chrono::milliseconds{50};

/// Buffer size for the first bytes of a request, which are read while the connection is idle.
constexpr auto first_read_size = std::size_t{4096};

/// Fractions of the limit of connections from which on a server counts as crowded, and below which it no
/// longer does.
constexpr auto crowded_fraction = 0.9;
constexpr auto uncrowded_fraction = 0.8;

/// When callers that were refused may come again.
constexpr auto refusal_retry_after = "1";

/// Interval at which a caller's connection is checked while bytes of its next request lie unread.
constexpr auto unread_check_interval = state::duration{std::chrono::milliseconds{100}};

/// Receive buffer of a caller's socket, in bytes. Linux doubles the value for its own overhead, and bytes
/// beyond it are not acknowledged, so that callers cannot make the system hold more.
constexpr auto receive_buffer_size = 16'384;
constexpr auto max_unread_bytes = 2 * static_cast<std::size_t>(receive_buffer_size);

/// What a connection takes for its coroutines and its buffer, and what TLS adds to that.
constexpr auto working_bytes = std::size_t{16'384};
constexpr auto tls_bytes = std::size_t{49'152};

/// What a field of a request takes beside its text.
constexpr auto field_overhead = std::size_t{96};

auto handshake(beast::tcp_stream& /*stream*/) -> awaitable<void>
{
    co_return;
}

auto handshake(beast::ssl_stream<beast::tcp_stream>& stream) -> awaitable<void>
{
    co_await stream.async_handshake(asio::ssl::stream_base::server, use_awaitable);
}

auto load_tls(const tls_settings& settings) -> asio::ssl::context
{
    auto context = asio::ssl::context{asio::ssl::context::tls_server};
    try {
        context.use_certificate_chain_file(settings.certificate_file_);
        context.use_private_key_file(settings.key_file_, asio::ssl::context::pem);
    } catch (const boost::system::system_error& fault) {
        throw state::error{state::error_kind::invalid_settings,
                           std::string{"Cannot load the TLS certificate or key: "} + fault.what() + ".",
                           "Check the paths, and that the key matches the certificate."};
    }
    return context;
}

auto problem_response(const state::error& fault) -> response
{
    auto answer = make_response(protocol::caller::status_of(fault.kind()),
                                protocol::caller::problem_media_type, protocol::caller::problem_text(fault));
    if (fault.kind() == state::error_kind::no_capacity)
        answer.set(beast::http::field::retry_after, refusal_retry_after);
    return answer;
}

auto refusal_response(const std::string& text) -> response
{
    return problem_response(
        {state::error_kind::no_capacity, text, "Send the request again later, over a new connection."});
}

auto late_request_response() -> response
{
    constexpr auto status = 408U;
    return make_response(status, protocol::caller::problem_media_type,
                         protocol::caller::problem_text(status, "request-timeout",
                                                        "The request was not complete in time.",
                                                        coordination::routing::run_state::not_run));
}

/// The answer to a request whose handler failed in a way that nothing provides for.
auto failure_response() -> response
{
    constexpr auto status = 500U;
    return make_response(status, protocol::caller::problem_media_type,
                         protocol::caller::problem_text(
                             status, "internal-error", "The instance failed on the request; it may have run.",
                             coordination::routing::run_state::unknown));
}

/// Whether the end of the body cannot be told, so that its bytes would be taken for the next request.
auto has_unknown_coding(const request& message) -> bool
{
    const auto coding = header_text(message, "Transfer-Encoding");
    return !coding.empty() && !beast::iequals(coding, "chunked");
}

} // namespace

/// A connection: reads requests and passes each to the handler.
template <typename Stream>
class server::connection : public exchange, public std::enable_shared_from_this<connection<Stream>> {
public:
    connection(Stream stream, std::shared_ptr<shared_state> shared, std::unique_ptr<caller_share> share)
        : stream_{std::move(stream)}, shared_{std::move(shared)}, share_{std::move(share)},
          timer_{stream_.get_executor()}
    {}

    ~connection() override = default;

    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;

    auto run() -> awaitable<void>
    {
        auto failure = std::exception_ptr{};
        try {
            co_await serve_requests();
        } catch (...) {
            failure = std::current_exception();
        }
        if (progress_ && !is_complete_)
            report_incomplete_answer();
        share_->forbid_eviction();
        if (request_share_)
            request_share_->forbid_eviction();
        // A pending wait for the caller's disconnect shares ownership of the connection and ends here.
        on_disconnect_ = {};
        stop_timer();
        close();
        if (failure)
            std::rethrow_exception(failure);
    }

    /// Reads a request up to the end of its headers and answers 503.
    auto refuse() -> awaitable<void>
    {
        const auto timeout = shared_->settings_.refusal_timeout_;
        set_timeout(timeout);
        co_await handshake(stream_);
        auto parser = beast::http::request_parser<beast::http::string_body>{};
        parser.header_limit(static_cast<std::uint32_t>(shared_->settings_.max_header_bytes_));
        co_await beast::http::async_read_header(stream_, buffer_, parser, use_awaitable);
        progress_.emplace();
        auto answer =
            refusal_response("This instance has reached its limit of connections or of memory for them.");
        answer.keep_alive(false);
        co_await write(to_wire(answer), timeout);
        is_complete_ = true;
        co_await discard_rest(timeout);
        close();
    }

    auto is_complete() const -> bool { return is_complete_; }

    auto message() const -> const request& override { return request_; }

    auto take_message() -> request override { return std::exchange(request_, {}); }

    auto share() -> const std::shared_ptr<caller_share>& override { return request_share_; }

    auto send(response answer) -> awaitable<void> override
    {
        is_answered_ = true;
        answer.keep_alive(is_reusable());
        const auto body = std::exchange(answer.body(), {});
        const auto head = to_wire_head(answer);
        co_await write(head, body, shared_->settings_.write_timeout_);
        is_complete_ = true;
    }

    auto begin(response headers) -> awaitable<void> override
    {
        is_answered_ = true;
        headers.keep_alive(is_reusable());
        co_await write(to_wire_headers(std::move(headers)));
    }

    auto send_chunk(std::string_view bytes) -> awaitable<void> override
    {
        ++progress_->chunks_sent_;
        return write(to_wire_chunk(bytes));
    }

    auto end() -> awaitable<void> override
    {
        co_await write(std::string{last_chunk});
        is_complete_ = true;
    }

    using exchange::abort;

    auto abort(std::string_view reason) -> void override
    {
        end_by(connection_side::instance, std::string{reason});
        is_aborted_ = true;
        close();
    }

    auto set_label(std::string label) -> void override { progress_->label_ = std::move(label); }

    auto watch_for_disconnect(std::function<void()> on_disconnect) -> void override
    {
        on_disconnect_ = std::move(on_disconnect);
        // No timeout while waiting; each write of the response sets its own.
        beast::get_lowest_layer(stream_).expires_never();
        wait_for_input();
    }

private:
    using request_parser = beast::http::request_parser<held_body>;

    /// A request from its first byte on, and how much of its answer was sent.
    struct request_progress {
        std::chrono::steady_clock::time_point began_at_{std::chrono::steady_clock::now()};
        std::string label_;
        std::size_t bytes_sent_{0};
        std::size_t chunks_sent_{0};
    };

    /// Why an answer stays incomplete.
    struct ending {
        connection_side side_{connection_side::instance};
        std::string reason_;
    };

    /// Records why the answer stays incomplete; what was noticed first is the cause.
    auto end_by(connection_side side, std::string reason) -> void
    {
        if (!ending_)
            ending_ = ending{.side_ = side, .reason_ = std::move(reason)};
    }

    auto report_incomplete_answer() -> void
    {
        end_by(connection_side::instance, "the handler ended without a response");
        const auto is_caller = ending_->side_ == connection_side::caller;
        auto& counts = shared_->counts_;
        ++(is_caller ? counts.incomplete_by_caller_ : counts.incomplete_by_instance_);
        const auto now = std::chrono::steady_clock::now();
        if (!shared_->incomplete_lines_.admits(now))
            return;
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - progress_->began_at_).count();
        const auto skipped = shared_->incomplete_lines_.take_skipped();
        auto line = std::string{"incomplete answer "};
        if (!progress_->label_.empty())
            line.append(progress_->label_).append(" ");
        line.append("closed_by=").append(is_caller ? "caller" : "instance");
        line.append(" reason=\"").append(ending_->reason_).append("\"");
        line.append(" bytes_sent=").append(std::to_string(progress_->bytes_sent_));
        line.append(" chunks_sent=").append(std::to_string(progress_->chunks_sent_));
        line.append(" after_ms=").append(std::to_string(age));
        if (skipped > 0)
            line.append(" lines_skipped=").append(std::to_string(skipped));
        if (is_caller)
            log().info(line);
        else
            log().warn(line);
    }

    auto serve_requests() -> awaitable<void>
    {
        set_timeout(shared_->settings_.request_timeout_);
        share_->allow_eviction([this] { give_way(); });
        co_await handshake(stream_);
        while (true) {
            const auto has_request = co_await read_request();
            if (!has_request)
                break;
            is_answered_ = false;
            co_await answer();
            if (!is_complete_ || !is_reusable())
                break;
            forget_request();
        }
    }

    auto wait_for_input() -> void
    {
        if (std::exchange(is_waiting_for_input_, true))
            return;
        auto self = this->shared_from_this();
        beast::get_lowest_layer(stream_).socket().async_wait(asio::ip::tcp::socket::wait_read,
                                                             [self](boost::system::error_code fault) {
                                                                 self->is_waiting_for_input_ = false;
                                                                 if (!fault)
                                                                     self->check_for_disconnect();
                                                             });
    }

    auto check_for_disconnect() -> void
    {
        if (!on_disconnect_)
            return;
        auto status = ::pollfd{.fd = beast::get_lowest_layer(stream_).socket().native_handle(),
                               .events = POLLIN | POLLRDHUP};
        ::poll(&status, 1, 0);
        const auto events = static_cast<unsigned>(status.revents);
        if ((events & (POLLRDHUP | POLLHUP | POLLERR)) == 0) {
            // Waiting for input would end at once while bytes of the next request lie unread.
            if ((events & POLLIN) == 0)
                wait_for_input();
            else
                call_after(unread_check_interval, [this] { check_for_disconnect(); });
            return;
        }
        end_by(connection_side::caller, "the caller closed its side");
        const auto notify = std::exchange(on_disconnect_, {});
        notify();
        // Ends a write that is in progress.
        abort();
    }

    /// Calls a function after a time unless the timer is stopped before.
    template <typename Function>
    auto call_after(state::duration timeout, Function function) -> void
    {
        timer_.expires_after(timeout);
        timer_.async_wait([self = this->weak_from_this(), round = ++timer_round_,
                           function](boost::system::error_code fault) {
            const auto owner = self.lock();
            if (!fault && owner && owner->timer_round_ == round)
                function();
        });
    }

    /// Also holds back a call that is already on its way.
    auto stop_timer() -> void
    {
        ++timer_round_;
        timer_.cancel();
    }

    auto set_timeout(state::duration timeout) -> void
    {
        beast::get_lowest_layer(stream_).expires_after(timeout);
    }

    /// Gives back the memory of a request that was answered, also while the connection is idle.
    auto forget_request() -> void
    {
        parser_.reset();
        request_ = {};
        request_share_.reset();
        if (buffer_.size() == 0 && buffer_.capacity() > first_read_size) {
            buffer_.clear();
            buffer_.shrink_to_fit();
        }
    }

    /// Reads the next request. Returns false when the caller closed the connection, the timeout expired or
    /// the request was rejected.
    auto read_request() -> awaitable<bool>
    {
        if (buffer_.size() == 0) {
            const auto has_begun = co_await wait_for_request();
            if (!has_begun)
                co_return false;
        }
        begin_request();
        progress_.emplace();
        is_complete_ = false;
        auto is_late = false;
        // A timeout of the stream would close the socket, which is needed for the answer.
        beast::get_lowest_layer(stream_).expires_never();
        call_after(shared_->settings_.request_timeout_, [this, &is_late] {
            is_late = true;
            beast::get_lowest_layer(stream_).cancel();
        });
        share_->allow_eviction([this] { give_way(); });
        request_share_->allow_eviction([this] {
            parser_.reset();
            beast::get_lowest_layer(stream_).cancel();
        });
        const auto fault = co_await read_to_end();
        share_->forbid_eviction();
        request_share_->forbid_eviction();
        stop_timer();
        if (!parser_ || fault == boost::system::errc::not_enough_memory) {
            shared_->record_memory_used_up();
            forget_request();
            co_await reject(
                refusal_response("The requests at this instance take all of its memory for them."));
            co_return false;
        }
        if (fault && is_late) {
            co_await reject(late_request_response());
            co_return false;
        }
        if (fault) {
            co_await reject_unreadable(fault);
            co_return false;
        }
        take_request();
        if (has_unknown_coding(request_)) {
            co_await reject(problem_response(
                {state::error_kind::invalid_request, "The transfer coding of the request is not supported.",
                 "Send the body with a Content-Length, or in chunks without another coding."}));
            co_return false;
        }
        co_return true;
    }

    auto begin_request() -> void
    {
        request_share_ = std::make_shared<caller_share>(shared_->settings_.memory_);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(shared_->settings_.max_header_bytes_));
        parser_->body_limit(shared_->settings_.max_body_bytes_);
        parser_->eager(true);
        parser_->get().body().share_ = request_share_.get();
    }

    /// Waits for the first bytes of the next request. Returns false when the connection ends before.
    auto wait_for_request() -> awaitable<bool>
    {
        auto fault = boost::system::error_code{};
        beast::get_lowest_layer(stream_).expires_never();
        call_after(shared_->settings_.idle_timeout_, [this] { end_idle_time(); });
        shared_->idle_.insert_or_assign(this, [this] { close_if_unused(); });
        share_->allow_eviction([this] { beast::get_lowest_layer(stream_).cancel(); });
        const auto received = co_await stream_.async_read_some(buffer_.prepare(first_read_size),
                                                               asio::redirect_error(use_awaitable, fault));
        share_->forbid_eviction();
        shared_->idle_.erase(this);
        stop_timer();
        if (fault)
            co_return false;
        buffer_.commit(received);
        // The connection may have had to give way while its request arrived.
        co_return share_->try_hold(held_part::connection, shared_->connection_bytes());
    }

    /// Closes the connection without an answer, so that others can be served.
    auto give_way() -> void
    {
        end_by(connection_side::instance, "the connection gave way to others");
        close();
    }

    /// Reads until the request is complete. What the parser leaves in the buffer is a part of the head, of
    /// the line of a chunk or of the trailers, which are all bounded like a head; Beast bounds the head
    /// alone.
    auto read_to_end() -> awaitable<boost::system::error_code>
    {
        constexpr auto min_read_size = std::size_t{512};
        auto fault = boost::system::error_code{};
        auto has_held_head = false;
        while (true) {
            buffer_.consume(parser_->put(buffer_.data(), fault));
            if (fault && fault != beast::http::error::need_more)
                co_return fault;
            if (parser_->is_header_done() && !std::exchange(has_held_head, true) && !hold_head())
                co_return boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
            if (parser_->is_done())
                co_return boost::system::error_code{};
            if (buffer_.size() >= shared_->settings_.max_header_bytes_)
                co_return make_error_code(beast::http::error::header_limit);
            const auto room = std::max(min_read_size, buffer_.capacity() - buffer_.size());
            const auto received = co_await stream_.async_read_some(
                buffer_.prepare(std::min(room, first_read_size)), asio::redirect_error(use_awaitable, fault));
            // The request gave way to others meanwhile.
            if (!parser_)
                co_return make_error_code(asio::error::operation_aborted);
            if (fault == asio::error::eof)
                co_return make_error_code(beast::http::error::partial_message);
            if (fault)
                co_return fault;
            buffer_.commit(received);
        }
    }

    /// Puts the head of a request on account, and what the buffer takes beyond its usual size.
    auto hold_head() -> bool
    {
        auto& body = parser_->get().body();
        body.head_bytes_ = buffer_.capacity() - std::min(buffer_.capacity(), first_read_size);
        for (const auto& field : parser_->get())
            body.head_bytes_ += field.name_string().size() + field.value().size() + field_overhead;
        return request_share_->try_hold(held_part::message, body.head_bytes_ + body.bytes_.capacity());
    }

    auto take_request() -> void
    {
        auto received = parser_->release();
        parser_.reset();
        is_keep_alive_ = received.keep_alive();
        request_ = request{std::move(received.base())};
        request_.body() = std::move(received.body().bytes_);
    }

    auto end_idle_time() -> void
    {
        // Unread bytes may turn out to be no request, such as a part of a TLS record.
        if (!close_if_unused())
            call_after(unread_check_interval, [this] { end_idle_time(); });
    }

    /// Closes an idle connection unless its next request lies unread in the socket.
    auto close_if_unused() -> bool
    {
        auto byte = char{};
        const auto received = ::recv(beast::get_lowest_layer(stream_).socket().native_handle(), &byte, 1,
                                     MSG_PEEK | MSG_DONTWAIT);
        if (received > 0)
            return false;
        // Closing would drop the answer if the first bytes of a request have been read but not yet handled.
        beast::get_lowest_layer(stream_).cancel();
        return true;
    }

    auto reject_unreadable(boost::system::error_code fault) -> awaitable<void>
    {
        using beast::http::error;
        const auto is_too_large = fault == error::body_limit || fault == error::header_limit;
        const auto is_malformed = fault.category() == make_error_code(error::bad_method).category() &&
                                  fault != error::end_of_stream && fault != error::partial_message;
        if (!is_too_large && !is_malformed) {
            end_by(connection_side::caller, "the request is incomplete: " + fault.message());
            co_return;
        }
        const auto kind = is_too_large ? state::error_kind::too_large : state::error_kind::invalid_request;
        co_await reject(problem_response({kind, "The request cannot be read: " + fault.message() + ".",
                                          "Send a smaller request, or correct it."}));
    }

    /// Answers a request that was not read to its end, and closes the connection.
    auto reject(response answer) -> awaitable<void>
    {
        answer.keep_alive(false);
        share_->allow_eviction([this] { give_way(); });
        co_await write(to_wire(answer));
        is_complete_ = true;
        forget_request();
        co_await discard_rest(shared_->settings_.discard_timeout_);
    }

    /// Reads and discards for a limited time after a rejection. Closing a socket with unread bytes resets the
    /// connection, and a caller that is still sending could lose the response.
    auto discard_rest(state::duration timeout) -> awaitable<void>
    {
        auto fault = boost::system::error_code{};
        auto& transport = beast::get_lowest_layer(stream_);
        transport.socket().shutdown(asio::ip::tcp::socket::shutdown_send, fault);
        auto discarded = std::size_t{0};
        set_timeout(timeout);
        while (!fault && discarded < shared_->settings_.max_discarded_bytes_) {
            discarded += co_await transport.async_read_some(asio::buffer(shared_->discarded_),
                                                            asio::redirect_error(use_awaitable, fault));
        }
    }

    auto write(std::string bytes) -> awaitable<void>
    {
        return write(std::move(bytes), shared_->settings_.write_timeout_);
    }

    auto write(std::string bytes, state::duration timeout) -> awaitable<void>
    {
        const auto no_body = std::string{};
        co_await write(bytes, no_body, timeout);
    }

    /// The caller may never read what is written, so it may have to give way.
    auto write(const std::string& head, const std::string& body, state::duration timeout) -> awaitable<void>
    {
        set_timeout(timeout);
        const auto share = request_share_;
        if (share) {
            share->allow_eviction(
                [this] { abort("the caller did not read the answer while others waited"); });
            if (!share->try_hold(held_part::answer, head.size() + body.size()))
                abort("the answers at this instance take all of its memory for them");
        }
        auto fault = boost::system::error_code{};
        const auto parts = std::array<asio::const_buffer, 2>{asio::buffer(head), asio::buffer(body)};
        progress_->bytes_sent_ +=
            co_await asio::async_write(stream_, parts, asio::redirect_error(use_awaitable, fault));
        if (share) {
            share->forbid_eviction();
            share->release(held_part::answer);
        }
        if (!fault)
            co_return;
        if (fault == beast::error::timeout)
            end_by(connection_side::instance, "the caller did not read the answer in time");
        else
            end_by(connection_side::caller, "the answer could not be sent: " + fault.message());
        throw boost::system::system_error{fault};
    }

    auto answer() -> awaitable<void>
    {
        auto problem = std::optional<response>{};
        auto failure = std::string{};
        try {
            co_await shared_->handler_(*this);
        } catch (const state::error& fault) {
            problem = problem_response(fault);
            failure = fault.what();
        } catch (const std::exception& fault) {
            // A write that failed has recorded why the answer ends.
            if (ending_)
                throw;
            problem = failure_response();
            failure = fault.what();
            log().error("handler failed " + progress_->label_ + " reason=\"" + failure + "\"");
        }
        on_disconnect_ = {};
        stop_timer();
        if (problem && !is_answered_)
            co_await send(std::move(*problem));
        else if (problem)
            end_by(connection_side::instance, "the handler failed: " + failure);
    }

    auto is_reusable() const -> bool { return is_keep_alive_ && !is_aborted_ && !shared_->is_stopping_; }

    auto close() -> void
    {
        auto ignored = boost::system::error_code{};
        auto& socket = beast::get_lowest_layer(stream_).socket();
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }

    Stream stream_;
    std::shared_ptr<shared_state> shared_;
    std::unique_ptr<caller_share> share_;
    beast::flat_buffer buffer_;
    asio::steady_timer timer_;
    std::uint64_t timer_round_{0};
    /// Set while a request is being read.
    std::optional<request_parser> parser_;
    request request_;
    /// What the request and its answer hold; kept by the handler as well.
    std::shared_ptr<caller_share> request_share_;
    bool is_keep_alive_{false};
    std::function<void()> on_disconnect_;
    std::optional<request_progress> progress_;
    std::optional<ending> ending_;
    bool is_waiting_for_input_{false};
    bool is_answered_{false};
    bool is_complete_{false};
    bool is_aborted_{false};
};

auto server::shared_state::add_connection() -> void
{
    ++counts_.open_connections_;
    const auto limit = static_cast<double>(settings_.max_connections_) * crowded_fraction;
    if (is_crowded_ || static_cast<double>(counts_.open_connections_) < limit)
        return;
    is_crowded_ = true;
    log().warn("limit near limit=connections open=" + std::to_string(counts_.open_connections_) +
               " max=" + std::to_string(settings_.max_connections_));
}

auto server::shared_state::remove_connection() -> void
{
    --counts_.open_connections_;
    const auto limit = static_cast<double>(settings_.max_connections_) * uncrowded_fraction;
    if (!is_crowded_ || static_cast<double>(counts_.open_connections_) > limit)
        return;
    is_crowded_ = false;
    is_at_limit_ = false;
    log().info("limit left limit=connections open=" + std::to_string(counts_.open_connections_) +
               " max=" + std::to_string(settings_.max_connections_) + " refused=" +
               std::to_string(counts_.refused_ - std::exchange(refused_before_, counts_.refused_)));
}

auto server::shared_state::connection_bytes() const -> std::size_t
{
    return max_unread_bytes + working_bytes + (settings_.tls_.is_on() ? tls_bytes : 0);
}

auto server::shared_state::record_memory_used_up() -> void
{
    if (!memory_lines_.admits(std::chrono::steady_clock::now()))
        return;
    const auto memory = settings_.memory_->counts();
    log().warn("limit reached limit=memory held=" + std::to_string(memory.held_) +
               " max=" + std::to_string(memory.limit_) + " evicted=" + std::to_string(memory.evicted_) +
               " refused=" + std::to_string(memory.refused_));
}

auto server::shared_state::record_limit_reached() -> void
{
    if (std::exchange(is_at_limit_, true))
        return;
    log().warn("limit reached limit=connections open=" + std::to_string(counts_.open_connections_) +
               " max=" + std::to_string(settings_.max_connections_));
}

/// Counts one open connection for as long as it lives.
class server::connection_place {
public:
    explicit connection_place(std::shared_ptr<shared_state> shared) : shared_{std::move(shared)}
    {
        shared_->add_connection();
    }

    ~connection_place() { shared_->remove_connection(); }

    connection_place(const connection_place&) = delete;
    auto operator=(const connection_place&) -> connection_place& = delete;

private:
    std::shared_ptr<shared_state> shared_;
};

server::server(asio::io_context& context, server_settings settings, exchange_handler handler)
    : context_{context}, shared_{std::make_shared<shared_state>()}, acceptor_{context}
{
    const auto address = to_socket_address(settings.address_);
    shared_->settings_ = std::move(settings);
    shared_->settings_.memory_->fit_request(shared_->settings_.max_header_bytes_,
                                            shared_->settings_.max_body_bytes_);
    shared_->handler_ = std::move(handler);
    if (shared_->settings_.tls_.is_on())
        tls_ = load_tls(shared_->settings_.tls_);
    try {
        acceptor_.open(address.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address{true});
        // Accepted connections inherit the size.
        acceptor_.set_option(asio::socket_base::receive_buffer_size{receive_buffer_size});
        acceptor_.bind(address);
        acceptor_.listen();
    } catch (const boost::system::system_error& fault) {
        throw state::error{state::error_kind::invalid_settings,
                           "The address " + shared_->settings_.address_.text() +
                               " cannot be listened on: " + fault.what() + ".",
                           "Choose a free port and an address of this instance."};
    }
}

auto server::start() -> void
{
    asio::co_spawn(context_, accept_connections(), logging::failure_log{"http", "accept_connections"});
}

auto server::stop_accepting() -> void
{
    shared_->is_stopping_ = true;
    auto ignored = boost::system::error_code{};
    acceptor_.close(ignored);
}

auto server::close_idle() -> void
{
    // Copied, because closed connections remove themselves from the map.
    const auto idle = shared_->idle_;
    for (const auto& [owner, close] : idle)
        close();
}

auto server::set_limits(const state::caller_limits& limits) -> void
{
    shared_->settings_.max_header_bytes_ = limits.largest_header_;
    shared_->settings_.max_body_bytes_ = limits.largest_body_;
    shared_->settings_.request_timeout_ = limits.request_limit_;
    shared_->settings_.idle_timeout_ = limits.idle_limit_;
    shared_->settings_.memory_->fit_request(limits.largest_header_, limits.largest_body_);
}

auto server::counts() const -> server_counts
{
    auto counts = shared_->counts_;
    counts.max_connections_ = shared_->settings_.max_connections_;
    counts.memory_ = shared_->settings_.memory_->counts();
    return counts;
}

auto server::port() const -> std::uint16_t
{
    return acceptor_.local_endpoint().port();
}

auto server::accept_connections() -> awaitable<void>
{
    while (acceptor_.is_open()) {
        auto fault = boost::system::error_code{};
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(use_awaitable, fault));
        if (fault) {
            if (!acceptor_.is_open())
                co_return;
            auto timer = asio::steady_timer{context_, accept_retry_interval};
            co_await timer.async_wait(use_awaitable);
            continue;
        }
        auto share = std::make_unique<caller_share>(shared_->settings_.memory_);
        if (shared_->counts_.open_connections_ < shared_->settings_.max_connections_ &&
            share->try_hold(held_part::connection, shared_->connection_bytes()))
            asio::co_spawn(context_, serve(std::move(socket), std::move(share)),
                           logging::failure_log{"http", "serve"});
        else
            asio::co_spawn(context_, refuse(std::move(socket), std::move(share)),
                           logging::failure_log{"http", "refuse"});
    }
}

auto server::serve(asio::ip::tcp::socket socket, std::unique_ptr<caller_share> share) -> awaitable<void>
{
    const auto place = connection_place{shared_};
    co_await run_connection(std::move(socket), std::move(share),
                            [](auto& accepted) { return accepted.run(); });
}

auto server::refuse(asio::ip::tcp::socket socket, std::unique_ptr<caller_share> share) -> awaitable<void>
{
    const auto shared = shared_;
    auto& counts = shared->counts_;
    if (counts.open_connections_ >= shared->settings_.max_connections_)
        shared->record_limit_reached();
    else
        shared->record_memory_used_up();
    ++counts.refused_;
    if (counts.open_refusals_ >= shared->settings_.max_refusals_ ||
        !share->try_hold(held_part::refusal, shared->connection_bytes())) {
        ++counts.refused_without_answer_;
        co_return;
    }
    ++counts.open_refusals_;
    auto is_answered = false;
    co_await run_connection(std::move(socket), std::move(share),
                            [&is_answered](auto& accepted) -> awaitable<void> {
                                co_await accepted.refuse();
                                is_answered = accepted.is_complete();
                            });
    --counts.open_refusals_;
    if (!is_answered)
        ++counts.refused_without_answer_;
}

template <typename Run>
auto server::run_connection(asio::ip::tcp::socket socket, std::unique_ptr<caller_share> share, Run run)
    -> awaitable<void>
{
    auto ignored = boost::system::error_code{};
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    auto stream = beast::tcp_stream{std::move(socket)};
    try {
        if (tls_) {
            using tls_stream = beast::ssl_stream<beast::tcp_stream>;
            auto accepted = std::make_shared<connection<tls_stream>>(tls_stream{std::move(stream), *tls_},
                                                                     shared_, std::move(share));
            co_await run(*accepted);
            co_return;
        }
        auto accepted =
            std::make_shared<connection<beast::tcp_stream>>(std::move(stream), shared_, std::move(share));
        co_await run(*accepted);
    } catch (const boost::system::system_error& fault) {
        log().debug(std::string{"Connection failed: "} + fault.what());
    }
}

} // namespace buckthorndale::transport::http
