#include "transport/deflate/deflated_text.hpp"

#include "state/error.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace buckthorndale::transport::deflate {

namespace zlib = boost::beast::zlib;

namespace {

/// Texts of settings and routes repeat the same names, which a low level already finds.
constexpr auto level = 3;
/// 8 KiB of history; a window of the usual 32 KiB costs 256 KiB of memory while a text is packed.
constexpr auto window_bits = 13;
constexpr auto memory_level = 5;
constexpr auto portion_size = std::size_t{16'384};

auto bad_stream(const std::string& why) -> state::error
{
    return {state::error_kind::invalid_request, "A compressed text cannot be read: " + why + ".",
            "Run the same release on all instances."};
}

} // namespace

auto deflated(std::string_view text) -> std::string
{
    auto stream = zlib::deflate_stream{};
    stream.reset(level, window_bits, memory_level, zlib::Strategy::normal);
    auto bytes = std::string(stream.upper_bound(text.size()), '\0');
    auto parameters = zlib::z_params{};
    parameters.next_in = text.data();
    parameters.avail_in = text.size();
    parameters.next_out = bytes.data();
    parameters.avail_out = bytes.size();
    auto fault = boost::system::error_code{};
    stream.write(parameters, zlib::Flush::finish, fault);
    bytes.resize(parameters.total_out);
    return bytes;
}

auto inflated(std::string_view bytes, std::size_t largest) -> std::string
{
    auto stream = zlib::inflate_stream{};
    auto text = std::string{};
    auto parameters = zlib::z_params{};
    parameters.next_in = bytes.data();
    parameters.avail_in = bytes.size();
    auto fault = boost::system::error_code{};
    while (fault != zlib::error::end_of_stream) {
        const auto before = text.size();
        if (before > largest)
            throw bad_stream("it is longer than " + std::to_string(largest) + " bytes");
        text.resize(before + portion_size);
        parameters.next_out = text.data() + before;
        parameters.avail_out = portion_size;
        fault.clear();
        stream.write(parameters, zlib::Flush::sync, fault);
        text.resize(text.size() - parameters.avail_out);
        const auto is_stuck = text.size() == before && fault != zlib::error::end_of_stream;
        if (is_stuck || (fault && fault != zlib::error::end_of_stream))
            throw bad_stream(fault ? fault.message() : "it ends too early");
    }
    if (text.size() > largest)
        throw bad_stream("it is longer than " + std::to_string(largest) + " bytes");
    return text;
}

} // namespace buckthorndale::transport::deflate
