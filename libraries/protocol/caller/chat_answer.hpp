#pragma once

#include "coordination/routing/answer_summary.hpp"
#include "state/identifiers.hpp"

#include <string>
#include <string_view>

namespace buckthorndale::protocol::caller {

/// The text that one chunk of a streamed answer adds; empty for chunks without text content.
auto chunk_text(std::string_view data) -> std::string;

/// A complete, non-streamed answer as a chat.completion object.
auto complete_answer_text(const state::request_id& request,
                          const coordination::routing::answer_summary& summary, const std::string& content)
    -> std::string;

/// The last chunk of a streamed answer before the end marker; it reports token usage, cost and attempts.
auto usage_chunk_text(const state::request_id& request, const coordination::routing::answer_summary& summary)
    -> std::string;

} // namespace buckthorndale::protocol::caller
