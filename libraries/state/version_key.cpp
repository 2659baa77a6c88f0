#include "state/version_key.hpp"

#include "state/error.hpp"

namespace buckthorndale::state {

auto version_key_from_text(const std::string& text) -> version_key
{
    const auto at = text.find('@');
    if (at == std::string::npos || at == 0 || at + 1 == text.size())
        throw error{error_kind::invalid_request, "'" + text + "' is not a model version.",
                    "Write it as model@version."};
    return {.model_ = model_name{text.substr(0, at)}, .version_ = version_name{text.substr(at + 1)}};
}

} // namespace buckthorndale::state
