#include "coordination/routing/attempt_result.hpp"

namespace buckthorndale::coordination::routing {

auto to_string(attempt_result_kind kind) -> std::string_view
{
    switch (kind) {
    case attempt_result_kind::complete:
        return "whole";
    case attempt_result_kind::nothing_sent:
        return "nothing-sent";
    case attempt_result_kind::declined:
        return "declined";
    case attempt_result_kind::broken:
        return "broken";
    case attempt_result_kind::silent:
        return "silent";
    case attempt_result_kind::crashed:
        return "crashed";
    case attempt_result_kind::failed:
        return "failed";
    case attempt_result_kind::rejected:
        return "rejected";
    case attempt_result_kind::wrong_version:
        return "wrong-version";
    }
    return "unnamed";
}

} // namespace buckthorndale::coordination::routing
