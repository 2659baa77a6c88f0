#include "fault_proxy/proxied_route.hpp"
#include "protocol/settings/settings_file.hpp"
#include "state/error.hpp"
#include "transport/http/query.hpp"
#include "transport/http/server.hpp"
#include "transport/process/program.hpp"
#include "transport/process/signals.hpp"
#include "transport/worker/worker.hpp"

#include <map>
#include <memory>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace http = transport::http;
namespace fault_proxy = utilities::fault_proxy;

/// The routes, and the calls by which a test breaks one, GET /fault?route=NAME&kind=FAULT, or leads it to
/// another address, GET /target?route=NAME&address=ADDRESS.
class proxy {
public:
    proxy(http::asio::io_context& context, protocol::json::object_reader settings)
        : control_server_{context, http::server_settings{.address_ = address(settings, "control")},
                          [this](http::exchange& exchange) { return control(exchange); }}
    {
        for (auto& reader : settings.children("routes")) {
            auto route = std::make_unique<fault_proxy::proxied_route>(context, address(reader, "listen"),
                                                                      address(reader, "target"));
            route->start();
            routes_.emplace(reader.text("name"), std::move(route));
        }
        control_server_.start();
    }

private:
    static auto address(protocol::json::object_reader& reader, std::string_view field)
        -> state::network_address
    {
        return state::network_address_from_text(reader.text(field));
    }

    auto control(http::exchange& exchange) -> http::awaitable<void>
    {
        const auto target = http::split_target(exchange.message().target());
        const auto& query = target.query_;
        const auto route = routes_.find(http::query_text(query, "route"));
        auto status = 404U;
        if (route != routes_.end()) {
            try {
                if (target.path_ == "/target")
                    route->second->set_target(
                        state::network_address_from_text(http::query_text(query, "address")));
                else
                    route->second->set_fault(fault_proxy::route_fault_from(http::query_text(query, "kind")));
                status = 200U;
            } catch (const state::error&) {
                status = 400U;
            }
        }
        co_await exchange.send(http::make_response(status, "text/plain", ""));
    }

    std::map<std::string, std::unique_ptr<fault_proxy::proxied_route>> routes_;
    http::server control_server_;
};

auto run(const transport::process::command_line& command) -> void
{
    const auto file = protocol::settings::settings_file{command.settings_path_};
    transport::process::block_handled_signals();
    auto network = transport::worker::worker{"network"};
    auto routes = proxy{network.context(), file.reader()};
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
                                           "Breaks connections on loopback, for tests.", run);
}
