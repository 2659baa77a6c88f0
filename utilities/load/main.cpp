#include "load/load_run.hpp"

#include "state/error.hpp"
#include "transport/process/program.hpp"

#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace load = utilities::load;

auto milliseconds(state::duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

auto read_settings(int argument_count, char** arguments) -> load::load_settings
{
    auto parser = TCLAP::CmdLine{"Sends requests to a router or an engine on loopback and times the answers.",
                                 ' ', transport::process::release_version()};
    parser.setExceptionHandling(false);
    auto target =
        TCLAP::ValueArg<std::string>{"t", "target", "Where to send.", true, "", "host:port", parser};
    auto key = TCLAP::ValueArg<std::string>{"k", "key", "The workspace's key.", false, "", "key", parser};
    auto profile =
        TCLAP::ValueArg<std::string>{"p", "profile", "The profile.", false, "quick", "name", parser};
    auto version = TCLAP::ValueArg<std::string>{
        "v", "engine-version", "The version to ask an engine for.", false, "", "model@version", parser};
    auto callers = TCLAP::ValueArg<int>{"c", "callers", "Callers at once.", false, 1, "number", parser};
    auto requests = TCLAP::ValueArg<int>{"n", "requests", "Requests in all.", false, 100, "number", parser};
    auto tokens = TCLAP::ValueArg<int>{"l", "tokens", "Tokens of an answer.", false, 100, "number", parser};
    auto rate = TCLAP::ValueArg<double>{"r", "rate", "Requests a second.", false, 0.0, "number", parser};
    parser.parse(argument_count, arguments);
    auto settings = load::load_settings{.target_ = state::network_address_from_text(target.getValue()),
                                        .key_ = key.getValue(),
                                        .profile_ = profile.getValue(),
                                        .version_ = version.getValue(),
                                        .callers_ = callers.getValue(),
                                        .requests_ = requests.getValue(),
                                        .tokens_ = tokens.getValue(),
                                        .rate_ = rate.getValue()};
    if (!settings.target_.host_.starts_with("127."))
        throw state::error{state::error_kind::invalid_settings, "The target is not on loopback.",
                           "Load goes to this machine only."};
    return settings;
}

auto print(const load::load_result& result) -> void
{
    constexpr auto median = 0.5;
    constexpr auto tail = 0.99;
    const auto seconds = std::chrono::duration<double>(result.taken_).count();
    std::cout << std::fixed << std::setprecision(3) << "whole=" << result.whole_
              << " failed=" << result.failed_
              << " requests/s=" << static_cast<double>(result.whole_) / seconds
              << " tokens/s=" << static_cast<double>(result.tokens_) / seconds
              << " first_token_ms median=" << milliseconds(load::quantile(result.first_tokens_, median))
              << " 99th=" << milliseconds(load::quantile(result.first_tokens_, tail))
              << " between_tokens_ms median=" << milliseconds(load::quantile(result.between_tokens_, median))
              << " 99th=" << milliseconds(load::quantile(result.between_tokens_, tail)) << "\n";
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    try {
        auto context = transport::http::asio::io_context{1};
        const auto result = load::load_run{context, read_settings(argument_count, arguments)}.run();
        print(result);
        return result.failed_ == 0 ? 0 : 1;
    } catch (const TCLAP::ExitException& finished) {
        return finished.getExitStatus();
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << "The command line is wrong: " << fault.what() << " Remedy: see --help.\n";
        return 2;
    } catch (const state::error& fault) {
        std::cerr << fault.what() << "\n";
        return 2;
    }
}
