#include "protocol/json/container_text.hpp"

#include <cstddef>
#include <string>

namespace buckthorndale::protocol::json {

namespace {

/// Steps over the values of a JSON text.
class value_scanner {
public:
    explicit value_scanner(std::string_view text) : text_{text} {}

    /// The next character that is not white space; 0 at the end.
    auto peek() -> char
    {
        const auto next = text_.find_first_not_of(" \t\r\n", position_);
        position_ = next == std::string_view::npos ? text_.size() : next;
        return position_ < text_.size() ? text_[position_] : '\0';
    }

    /// Steps over the character if it is the next one.
    auto skip(char wanted) -> bool
    {
        if (peek() != wanted)
            return false;
        ++position_;
        return true;
    }

    /// Steps over the next value and returns its text, which is empty if there is none.
    auto take_value() -> std::string_view
    {
        peek();
        const auto begin = position_;
        // The closing brackets that are still to come.
        auto open = std::string{};
        while (true) {
            switch (peek()) {
            case '\0':
                return text_.substr(begin);
            case '"':
                skip_string();
                break;
            case '{':
                open.push_back('}');
                ++position_;
                break;
            case '[':
                open.push_back(']');
                ++position_;
                break;
            case '}':
            case ']':
                // What is not closed within a closed bracket ends with it.
                if (const auto match = open.rfind(text_[position_]); match != std::string::npos)
                    open.resize(match);
                else if (open.empty())
                    return text_.substr(begin, position_ - begin);
                ++position_;
                break;
            case ',':
            case ':':
                if (open.empty())
                    return text_.substr(begin, position_ - begin);
                ++position_;
                break;
            default:
                skip_scalar();
            }
            if (open.empty() && is_at_delimiter())
                return text_.substr(begin, position_ - begin);
        }
    }

private:
    /// Whether the value before ends here; anything else that follows it makes it invalid.
    auto is_at_delimiter() -> bool
    {
        constexpr auto delimiters = std::string_view{",:]}\0", 5};
        return delimiters.find(peek()) != std::string_view::npos;
    }

    auto skip_string() -> void
    {
        for (++position_; position_ < text_.size(); ++position_) {
            if (text_[position_] == '\\') {
                ++position_;
            } else if (text_[position_] == '"') {
                ++position_;
                return;
            }
        }
        position_ = text_.size();
    }

    auto skip_scalar() -> void
    {
        const auto next = text_.find_first_of(" \t\r\n,:\"[]{}", position_);
        position_ = next == std::string_view::npos ? text_.size() : next;
    }

    std::string_view text_;
    std::size_t position_{0};
};

} // namespace

auto split_container(std::string_view text) -> std::optional<container_text>
{
    auto scanner = value_scanner{text};
    auto container = container_text{.is_array_ = scanner.peek() == '['};
    const auto end = container.is_array_ ? ']' : '}';
    if (!scanner.skip(container.is_array_ ? '[' : '{'))
        return std::nullopt;
    auto has_part = !scanner.skip(end);
    while (has_part) {
        auto part = container_text::part{};
        if (!container.is_array_) {
            part.name_ = scanner.take_value();
            if (!scanner.skip(':'))
                return std::nullopt;
        }
        part.value_ = scanner.take_value();
        container.parts_.push_back(part);
        has_part = scanner.skip(',');
        if (!has_part && !scanner.skip(end))
            return std::nullopt;
    }
    if (scanner.peek() != '\0')
        return std::nullopt;
    return container;
}

} // namespace buckthorndale::protocol::json
