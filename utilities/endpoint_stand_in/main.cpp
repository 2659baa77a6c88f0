#include "endpoint_stand_in/endpoint_service.hpp"
#include "endpoint_stand_in/endpoint_settings.hpp"

#include "transport/http/server.hpp"
#include "transport/process/program.hpp"
#include "transport/process/signals.hpp"
#include "transport/worker/worker.hpp"

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace stand_in = utilities::endpoint_stand_in;

auto run(const transport::process::command_line& command) -> void
{
    const auto settings = stand_in::read_endpoint_settings(command.settings_path_);
    if (command.is_check_)
        return;
    transport::process::block_handled_signals();
    auto network = transport::worker::worker{"network"};
    auto service = stand_in::endpoint_service{network.context(), settings};
    auto server = transport::http::server{
        network.context(), {.address_ = settings.address_}, [&](transport::http::exchange& exchange) {
            return service.handle(exchange);
        }};
    server.start();
    network.start();
    transport::process::wait_for_stop();
    network.stop();
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    return transport::process::run_service(
        argument_count, arguments, "A small stand-in for an engine, a plain service or the rating service.",
        run);
}
