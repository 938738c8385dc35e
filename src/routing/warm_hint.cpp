#include "endivelatch/routing/warm_hint.hpp"

#include "endivelatch/base/digest.hpp"

#include <concepts>
#include <limits>

namespace endivelatch {

namespace {

constexpr char format_version = 1;
constexpr std::size_t mac_size = 12;       // bytes of the truncated HMAC
constexpr std::size_t max_text_size = 512; // characters
constexpr std::size_t header_size = 17;    // bytes: version, time, incarnation, tokens
constexpr unsigned bits_per_byte = 8;
constexpr duration clock_tolerance = std::chrono::minutes{1};

template <std::unsigned_integral Number>
void append_number(std::string& out, Number value)
{
    for (std::size_t it = 0; it < sizeof(Number); ++it) {
        out += static_cast<char>(value >> (bits_per_byte * it));
    }
}

template <std::unsigned_integral Number>
Number take_number(std::string_view& in)
{
    Number value = 0;
    for (std::size_t it = 0; it < sizeof(Number); ++it) {
        value |= static_cast<Number>(static_cast<unsigned char>(in[it])) << (bits_per_byte * it);
    }
    in.remove_prefix(sizeof(Number));
    return value;
}

void append_length_prefixed(std::string& out, std::string_view text)
{
    append_number(out, static_cast<std::uint64_t>(text.size()));
    out += text;
}

std::uint32_t whole_seconds(wall_time time)
{
    using std::chrono::seconds;
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<seconds>(time.time_since_epoch()).count());
}

} // namespace

hint_codec::hint_codec(std::string key, duration max_age) : key_{std::move(key)}, max_age_{max_age}
{
}

std::string hint_codec::seal(const warm_hint& hint) const
{
    std::string body(1, format_version);
    append_number(body, whole_seconds(hint.issued));
    append_number(body, hint.target_run.value());
    append_number(body, hint.prefix_tokens);
    body += hint.target.str();
    return to_base64url(compute_mac(body, hint.organisation, hint.chat) + body);
}

std::optional<warm_hint> hint_codec::open(std::string_view text,
                                          const organisation_id& organisation, const chat_id& chat,
                                          wall_time now) const
{
    if (text.size() > max_text_size) {
        return std::nullopt;
    }
    const auto bytes = from_base64url(text);
    if (!bytes || bytes->size() <= mac_size + header_size) {
        return std::nullopt;
    }
    std::string_view body{*bytes};
    const auto mac = body.substr(0, mac_size);
    body.remove_prefix(mac_size);
    if (!equal_in_constant_time(mac, compute_mac(body, organisation, chat)) ||
        body.front() != format_version) {
        return std::nullopt;
    }
    body.remove_prefix(1);
    warm_hint hint{organisation, chat, {}, {}, {}, 0};
    hint.issued = wall_time{std::chrono::seconds{take_number<std::uint32_t>(body)}};
    hint.target_run = incarnation{take_number<std::uint64_t>(body)};
    hint.prefix_tokens = take_number<std::uint32_t>(body);
    hint.target = target_id{std::string{body}};
    if (hint.issued > now + clock_tolerance || now - hint.issued > max_age_) {
        return std::nullopt;
    }
    return hint;
}

std::string hint_codec::compute_mac(std::string_view body, const organisation_id& organisation,
                                    const chat_id& chat) const
{
    std::string mac_input;
    append_length_prefixed(mac_input, organisation.str());
    append_length_prefixed(mac_input, chat.str());
    mac_input += body;
    return hmac_sha256(key_, mac_input).substr(0, mac_size);
}

} // namespace endivelatch
