#include "coordination/claims/claim_verdict.hpp"

namespace buckthorndale::coordination::claims {

auto to_string(claim_verdict_kind kind) -> std::string
{
    switch (kind) {
    case claim_verdict_kind::granted:
        return "granted";
    case claim_verdict_kind::finished:
        return "finished";
    case claim_verdict_kind::in_progress:
        return "in-progress";
    case claim_verdict_kind::unknown:
        return "unknown";
    case claim_verdict_kind::unavailable:
        return "unavailable";
    case claim_verdict_kind::mismatch:
        return "mismatch";
    }
    return "unnamed";
}

} // namespace buckthorndale::coordination::claims
