#include "transport/http/percent_encoding.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace buckthorndale::transport::http {

namespace {

namespace urls = boost::urls;

constexpr auto path_characters = urls::unreserved_chars + '/';
constexpr auto target_characters = urls::pchars + '/' + '?' + '%';

template <typename Characters>
auto encode(std::string_view text, const Characters& kept) -> std::string
{
    return urls::encode(urls::string_view{text.data(), text.size()}, kept);
}

} // namespace

auto encode_component(std::string_view text) -> std::string
{
    return encode(text, urls::unreserved_chars);
}

auto encode_path(std::string_view text) -> std::string
{
    return encode(text, path_characters);
}

auto encode_target(std::string_view text) -> std::string
{
    return encode(text, target_characters);
}

} // namespace buckthorndale::transport::http
