#include "transport/process/program.hpp"

#include "state/error.hpp"
#include "transport/process/signals.hpp"

#include <tclap/CmdLine.h>

#include <exception>
#include <iostream>

namespace buckthorndale::transport::process {

namespace {

constexpr auto exit_success = 0;
constexpr auto exit_failure = 1;
constexpr auto exit_usage_error = 2;

auto read_command_line(int argument_count, char** arguments, const std::string& description) -> command_line
{
    auto parser = TCLAP::CmdLine{description, ' ', release_version()};
    parser.setExceptionHandling(false);
    auto settings = TCLAP::ValueArg<std::string>{
        "s", "settings", "The settings file: JSON with comments.", true, "", "path", parser};
    auto check = TCLAP::SwitchArg{"c", "check", "Check the settings and exit.", parser};
    parser.parse(argument_count, arguments);
    return {.settings_path_ = settings.getValue(), .is_check_ = check.getValue()};
}

} // namespace

auto run_service(int argument_count, char** arguments, const std::string& description,
                 const std::function<void(const command_line&)>& run) -> int
{
    ignore_broken_pipes();
    try {
        run(read_command_line(argument_count, arguments, description));
        return exit_success;
    } catch (const TCLAP::ExitException& finished) {
        return finished.getExitStatus();
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << "Invalid command line: " << fault.what() << " Remedy: see --help.\n";
        return exit_usage_error;
    } catch (const state::error& fault) {
        std::cerr << fault.what() << "\n";
        return fault.kind() == state::error_kind::invalid_settings ? exit_usage_error : exit_failure;
    } catch (const std::exception& fault) {
        std::cerr << "The program failed: " << fault.what() << "\n";
        return exit_failure;
    }
}

auto release_version() -> std::string
{
    return "0.1.0";
}

} // namespace buckthorndale::transport::process
