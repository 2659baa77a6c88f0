#include "coordination/answer/answer_relay.hpp"

#include "state/invariant.hpp"

namespace buckthorndale::coordination::answer {

auto answer_relay::follow(state::attempt_handle attempt, std::uint64_t offset) -> void
{
    verify(offset >= released_, state::guarantee::whole_answer,
           "an attempt must not repeat pieces already given out");
    verify(offset <= accepted_, state::guarantee::whole_answer, "an attempt must not leave out pieces");
    current_ = attempt;
    accepted_ = offset;
}

auto answer_relay::judge(state::attempt_handle attempt, std::uint64_t offset) -> piece_verdict
{
    if (!is_current(attempt) || offset < accepted_)
        return piece_verdict::drop;
    if (offset > accepted_)
        return piece_verdict::gap;
    ++accepted_;
    return piece_verdict::accept;
}

auto answer_relay::is_whole(state::attempt_handle attempt, std::uint64_t pieces) const -> bool
{
    return is_current(attempt) && pieces == accepted_;
}

} // namespace buckthorndale::coordination::answer
