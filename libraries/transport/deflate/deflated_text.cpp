#include "transport/deflate/deflated_text.hpp"

#include "state/error.hpp"
#include "state/invariant.hpp"

#include <zlib.h>

#include <memory>
#include <span>

namespace buckthorndale::transport::deflate {

namespace {

/// Settings and routes repeat the same names, which a low compression level already finds.
constexpr auto level = 3;
/// A negative number selects a raw stream. The window is 8 KiB; zlib's default of 32 KiB needs 256 KiB of
/// memory during compression.
constexpr auto window_bits = -13;
constexpr auto memory_level = 5;
constexpr auto chunk_size = std::size_t{16'384};

using deflate_end = decltype([](z_stream* stream) { deflateEnd(stream); });
using inflate_end = decltype([](z_stream* stream) { inflateEnd(stream); });

auto bad_stream(const std::string& why) -> state::error
{
    return {state::error_kind::invalid_request, "A compressed text cannot be read: " + why + ".",
            "Run the same release on all instances."};
}

/// The pointer type that zlib's C interface takes.
auto library_bytes(std::span<char> bytes) -> Bytef*
{
    return static_cast<Bytef*>(static_cast<void*>(bytes.data()));
}

auto set_input(z_stream& stream, std::string& bytes) -> void
{
    stream.next_in = library_bytes(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
}

/// Grows the text by one chunk and lets `step` write into it. Returns the result of `step`.
template <typename Step>
auto append_chunk(z_stream& stream, std::string& text, Step step) -> int
{
    const auto before = text.size();
    text.resize(before + chunk_size);
    stream.next_out = library_bytes(std::span{text}.subspan(before));
    stream.avail_out = static_cast<uInt>(chunk_size);
    const auto result = step();
    text.resize(text.size() - stream.avail_out);
    return result;
}

} // namespace

auto deflated(std::string_view text) -> std::string
{
    auto stream = z_stream{};
    const auto is_initialised =
        deflateInit2(&stream, level, Z_DEFLATED, window_bits, memory_level, Z_DEFAULT_STRATEGY) == Z_OK;
    verify(is_initialised, state::guarantee::internal_consistency,
           "the compression library must take its settings");
    const auto owner = std::unique_ptr<z_stream, deflate_end>{&stream};
    // zlib does not modify its input, but its interface takes a pointer to non-const bytes.
    auto input = std::string{text};
    set_input(stream, input);
    auto bytes = std::string{};
    auto result = Z_OK;
    while (result != Z_STREAM_END) {
        result = append_chunk(stream, bytes, [&] { return ::deflate(&stream, Z_FINISH); });
        verify(result == Z_OK || result == Z_STREAM_END, state::guarantee::internal_consistency,
               "compression with enough space must not fail");
    }
    return bytes;
}

auto inflated(std::string_view bytes, std::size_t max_bytes) -> std::string
{
    auto stream = z_stream{};
    const auto is_initialised = inflateInit2(&stream, window_bits) == Z_OK;
    verify(is_initialised, state::guarantee::internal_consistency,
           "the compression library must take its settings");
    const auto owner = std::unique_ptr<z_stream, inflate_end>{&stream};
    auto input = std::string{bytes};
    set_input(stream, input);
    auto text = std::string{};
    auto result = Z_OK;
    while (result != Z_STREAM_END) {
        result = append_chunk(stream, text, [&] { return ::inflate(&stream, Z_NO_FLUSH); });
        if (text.size() > max_bytes)
            throw bad_stream("it is longer than " + std::to_string(max_bytes) + " bytes");
        if (result == Z_BUF_ERROR)
            throw bad_stream("it ends too early");
        if (result != Z_OK && result != Z_STREAM_END)
            throw bad_stream("it is damaged");
    }
    return text;
}

} // namespace buckthorndale::transport::deflate
