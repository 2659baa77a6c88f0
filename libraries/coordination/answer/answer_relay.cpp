#include "coordination/answer/answer_relay.hpp"

#include "state/invariant.hpp"

namespace buckthorndale::coordination::answer {

auto answer_relay::switch_to(state::attempt_handle attempt, std::uint64_t offset) -> void
{
    verify(offset >= released_, state::guarantee::whole_answer,
           "an attempt must not repeat chunks already released to the caller");
    verify(offset <= accepted_, state::guarantee::whole_answer, "an attempt must not skip chunks");
    current_ = attempt;
    accepted_ = offset;
}

auto answer_relay::judge(state::attempt_handle attempt, std::uint64_t offset) -> chunk_verdict
{
    if (!is_current(attempt) || offset < accepted_)
        return chunk_verdict::drop;
    if (offset > accepted_)
        return chunk_verdict::gap;
    ++accepted_;
    return chunk_verdict::accept;
}

auto answer_relay::is_complete(state::attempt_handle attempt, std::uint64_t chunks) const -> bool
{
    return is_current(attempt) && chunks == accepted_;
}

} // namespace buckthorndale::coordination::answer
