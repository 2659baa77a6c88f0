#include <utility>

#include "control/command.hpp"
#include "control/table.hpp"

#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "state/field_value.hpp"
#include "transport/http/client.hpp"
#include "transport/process/program.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace control = utilities::control;

constexpr auto exit_success = 0;
constexpr auto exit_refused = 1;
constexpr auto exit_wrong_use = 2;
/// The agent or the platform did not answer; a change may have been accepted.
constexpr auto exit_unavailable = 3;
constexpr auto call_limit = state::duration{std::chrono::seconds{35}};

auto read_command(int argument_count, char** arguments) -> control::command
{
    auto parser = TCLAP::CmdLine{"Looks at and changes a running system.\n" + control::usage(), ' ',
                                 transport::process::release_version()};
    parser.setExceptionHandling(false);
    auto agent = TCLAP::ValueArg<std::string>{
        "a",         "agent", "Address of an agent's administration API.", false, "127.0.0.1:18113",
        "host:port", parser};
    auto is_json = TCLAP::SwitchArg{"j", "json", "Print JSON instead of tables.", parser};
    auto based_on = TCLAP::ValueArg<std::string>{
        "b",          "based-on", "Refuse if the same thing was changed after this generation.", false, "",
        "generation", parser};
    auto change_id = TCLAP::ValueArg<std::string>{
        "c",   "change-id", "Name of the change; sending it again under the same name changes nothing.",
        false, "",          "id",
        parser};
    auto words = TCLAP::UnlabeledMultiArg<std::string>{"words", "The action and what it acts on.", true,
                                                       "word", parser};
    parser.parse(argument_count, arguments);
    const auto* key = std::getenv("BUCKTHORNDALE_KEY");
    if (key == nullptr)
        throw state::error{state::error_kind::invalid_request, "No operator's key is set.",
                           "Put it into the environment variable BUCKTHORNDALE_KEY."};
    for (const auto& text : {std::string{key}, based_on.getValue(), change_id.getValue()}) {
        if (!state::is_field_value(text))
            throw state::error{
                state::error_kind::invalid_request,
                "The key, the generation or the change's name cannot be the value of a header.",
                "Use no control characters, no blanks at the ends, and at most 1024 bytes."};
    }
    return {.agent_ = state::network_address_from_text(agent.getValue()),
            .key_ = key,
            .is_json_ = is_json.getValue(),
            .based_on_ = based_on.getValue(),
            .change_id_ = change_id.getValue(),
            .words_ = words.getValue()};
}

auto fetch(const control::command& wanted) -> transport::http::response
{
    namespace http = transport::http;
    const auto call = control::to_call(wanted);
    auto message = http::request{http::beast::http::string_to_verb(call.method_), call.target_, 11};
    message.set(http::beast::http::field::authorization, "Bearer " + wanted.key_);
    if (!wanted.based_on_.empty())
        message.set(http::beast::http::field::if_match, wanted.based_on_);
    if (!wanted.change_id_.empty())
        message.set("X-Change-Id", wanted.change_id_);
    message.body() = call.body_;
    auto context = http::asio::io_context{};
    auto client = http::client{context};
    const auto bounds = http::client::timeouts{.first_byte_ = call_limit, .between_chunks_ = call_limit};
    auto answer = http::asio::co_spawn(context, client.fetch(wanted.agent_, std::move(message), bounds),
                                       http::asio::use_future);
    context.run();
    return answer.get();
}

auto print(const control::command& wanted, const transport::http::response& answer) -> int
{
    constexpr auto first_client_fault = 400U;
    constexpr auto first_server_fault = 500U;
    const auto value = protocol::json::parse(answer.body(), state::error_kind::platform_unavailable);
    const auto status = answer.result_int();
    if (status >= first_client_fault) {
        std::cerr << (wanted.is_json_ ? protocol::json::to_indented_text(value)
                                      : value["detail"].asString() + "\n");
        return status >= first_server_fault ? exit_unavailable : exit_refused;
    }
    std::cout << (wanted.is_json_ ? protocol::json::to_indented_text(value) : control::to_table(value));
    return exit_success;
}

auto run(int argument_count, char** arguments) -> int
{
    const auto wanted = read_command(argument_count, arguments);
    return print(wanted, fetch(wanted));
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    try {
        return run(argument_count, arguments);
    } catch (const TCLAP::ExitException& finished) {
        return finished.getExitStatus();
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << "The command line is wrong: " << fault.what() << " Remedy: see --help.\n";
        return exit_wrong_use;
    } catch (const transport::http::client_error& fault) {
        std::cerr << "The agent does not answer: " << fault.what()
                  << ". Remedy: check its address, or ask another agent.\n";
        return exit_unavailable;
    } catch (const state::error& fault) {
        std::cerr << fault.what() << "\n";
        return exit_wrong_use;
    }
}
