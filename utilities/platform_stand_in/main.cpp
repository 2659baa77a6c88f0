#include "platform_stand_in/platform_service.hpp"

#include "protocol/codec/instance_list_codec.hpp"
#include "protocol/settings/settings_file.hpp"
#include "transport/http/server.hpp"
#include "transport/process/program.hpp"
#include "transport/process/signals.hpp"
#include "transport/worker/worker.hpp"

#include <boost/asio/io_context.hpp>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace stand_in = utilities::platform_stand_in;

struct platform_settings {
    state::network_address address_;
    state::duration list_lag_{0};
    state::instance_list instances_;
};

auto read_settings(const std::string& path) -> platform_settings
{
    constexpr auto longest_lag_ms = std::int64_t{600'000};
    const auto file = protocol::settings::settings_file{path};
    auto reader = file.reader();
    auto settings = platform_settings{};
    settings.address_ = state::network_address_from_text(reader.text("address"));
    settings.list_lag_ = reader.milliseconds_or("list_lag_ms", 0, longest_lag_ms, {});
    for (auto& child : reader.children("members"))
        settings.instances_.members_.push_back(protocol::codec::read_member(child));
    for (auto& child : reader.children("endpoints"))
        settings.instances_.endpoints_.push_back(protocol::codec::read_endpoint(child));
    reader.finish();
    return settings;
}

auto run(const transport::process::command_line& command) -> void
{
    const auto settings = read_settings(command.settings_path_);
    if (command.is_check_)
        return;
    transport::process::block_handled_signals();
    auto network = transport::worker::worker{"network"};
    auto service = stand_in::platform_service{network.context(), settings.instances_, settings.list_lag_};
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
    return transport::process::run_service(argument_count, arguments,
                                           "A small stand-in for the platform, for tests and trials.", run);
}
