#include "protocol/settings/settings_file.hpp"
#include "raw_stand_in/raw_listener.hpp"
#include "state/error.hpp"
#include "transport/http/query.hpp"
#include "transport/http/server.hpp"
#include "transport/process/program.hpp"
#include "transport/process/signals.hpp"
#include "transport/worker/worker.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace http = transport::http;
namespace raw_stand_in = utilities::raw_stand_in;

/// The listener, and the calls by which a test controls it. POST /answer sets the body of the call as the
/// answer, of which the part after `@repeat@` is written without end. Its query may have reads=head,
/// delay_ms=N before the answer, interval_ms=N between portions of what is repeated, pause_ms=N after the
/// answer, and end=close|reset|end_and_reset|hold. Each call returns the number of arrivals before it, and
/// with of=VALUE those whose echoed header has this value.
class controlled_listener {
public:
    controlled_listener(http::asio::io_context& context, protocol::json::object_reader settings)
        : listener_{context, state::network_address_from_text(settings.text("address")),
                    settings.text_or("echoed_header", "")},
          control_server_{
              context,
              http::server_settings{.address_ = state::network_address_from_text(settings.text("control"))},
              [this](http::exchange& exchange) { return control(exchange); }}
    {
        listener_.start();
        control_server_.start();
    }

private:
    static auto answer_from(std::string_view query, const std::string& body) -> raw_stand_in::raw_answer
    {
        constexpr auto repeat_mark = std::string_view{"@repeat@"};
        const auto position = body.find(repeat_mark);
        const auto is_endless = position != std::string::npos;
        const auto end = http::query_text(query, "end");
        return {.text_ = body.substr(0, position),
                .repeated_ = is_endless ? body.substr(position + repeat_mark.size()) : std::string{},
                .interval_ = std::chrono::milliseconds{http::query_number(query, "interval_ms", 0)},
                .end_ = end.empty() ? raw_stand_in::raw_end::close : raw_stand_in::raw_end_from(end),
                .reads_body_ = http::query_text(query, "reads") != "head",
                .delay_ = std::chrono::milliseconds{http::query_number(query, "delay_ms", 0)},
                .pause_ = std::chrono::milliseconds{http::query_number(query, "pause_ms", 0)}};
    }

    auto control(http::exchange& exchange) -> http::awaitable<void>
    {
        const auto target = http::split_target(exchange.message().target());
        const auto value = http::query_text(target.query_, "of");
        const auto arrivals = value.empty() ? listener_.arrivals() : listener_.arrivals_of(value);
        if (target.path_ == "/answer")
            listener_.set_answer(answer_from(target.query_, exchange.message().body()));
        co_await exchange.send(http::make_response(200, "text/plain", std::to_string(arrivals)));
    }

    raw_stand_in::raw_listener listener_;
    http::server control_server_;
};

auto run(const transport::process::command_line& command) -> void
{
    const auto file = protocol::settings::settings_file{command.settings_path_};
    transport::process::block_handled_signals();
    auto network = transport::worker::worker{"network"};
    auto listener = controlled_listener{network.context(), file.reader()};
    if (command.is_check_)
        return;
    network.start();
    transport::process::wait_for_stop();
    network.stop();
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    return transport::process::run_service(argument_count, arguments,
                                           "Answers requests on loopback with any bytes, for tests.", run);
}
