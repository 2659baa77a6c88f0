#pragma once

#include "coordination/routing/answer_summary.hpp"
#include "state/identifiers.hpp"

#include <string>
#include <string_view>

namespace buckthorndale::protocol::caller {

/// The text that one piece of a streamed answer adds; empty for pieces that add none.
auto chunk_text(std::string_view data) -> std::string;

/// A whole answer as one JSON object.
auto complete_answer_text(const state::request_id& request,
                          const coordination::routing::answer_summary& summary, const std::string& content)
    -> std::string;

/// The last piece of a streamed answer before its end mark: what was used.
auto usage_chunk_text(const state::request_id& request, const coordination::routing::answer_summary& summary)
    -> std::string;

} // namespace buckthorndale::protocol::caller
