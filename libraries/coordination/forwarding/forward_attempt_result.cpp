#include "coordination/forwarding/forward_attempt_result.hpp"

namespace buckthorndale::coordination::forwarding {

auto to_string(forward_outcome outcome) -> std::string_view
{
    switch (outcome) {
    case forward_outcome::complete:
        return "whole";
    case forward_outcome::failed:
        return "failed";
    case forward_outcome::declined:
        return "declined";
    case forward_outcome::misdirected:
        return "misdirected";
    case forward_outcome::not_sent:
        return "not-sent";
    case forward_outcome::broken:
        return "broken";
    case forward_outcome::crashed:
        return "crashed";
    case forward_outcome::silent:
        return "silent";
    case forward_outcome::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace buckthorndale::coordination::forwarding
