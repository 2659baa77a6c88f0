#include "state/guarantee.hpp"

namespace buckthorndale::state {

auto to_string(guarantee which) -> std::string_view
{
    switch (which) {
    case guarantee::allowed_version:
        return "allowed version";
    case guarantee::no_work_when_withdrawn:
        return "no work when withdrawn";
    case guarantee::session_keeps_version:
        return "session keeps version";
    case guarantee::billed_once:
        return "billed once";
    case guarantee::whole_answer:
        return "whole answer";
    case guarantee::not_run_is_true:
        return "not run is true";
    case guarantee::at_most_once:
        return "at most once";
    case guarantee::leaving_endpoint_avoided:
        return "leaving endpoint avoided";
    case guarantee::graceful_shutdown:
        return "graceful shutdown";
    case guarantee::configuration_moves_forward:
        return "configuration moves forward";
    case guarantee::internal_consistency:
        return "internal consistency";
    }
    return "unnamed promise";
}

} // namespace buckthorndale::state
