#include "endivelatch/base/digest.hpp"
#include "endivelatch/routing/warm_hint.hpp"

#include <gtest/gtest.h>
#include <string>

namespace endivelatch {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

const wall_time issued_at{hours{500'000}};
const warm_hint sample{organisation_id{"fbn"}, chat_id{"c1"}, target_id{"gent-3"},
                       incarnation{7},         issued_at,     9000};

std::optional<warm_hint> open_sample(const hint_codec& codec, const std::string& text)
{
    return codec.open(text, sample.organisation, sample.chat, issued_at + seconds{5});
}

TEST(hint_codec, returns_the_sealed_hint)
{
    const hint_codec codec{"key"};
    EXPECT_EQ(open_sample(codec, codec.seal(sample)), sample);
}

TEST(hint_codec, rejects_every_changed_character_and_length)
{
    const hint_codec codec{"key"};
    const auto text = codec.seal(sample);
    for (std::size_t it = 0; it + 1 < text.size(); ++it) {
        auto changed = text;
        changed[it] = changed[it] == 'A' ? 'B' : 'A';
        EXPECT_FALSE(open_sample(codec, changed)) << it;
        EXPECT_FALSE(open_sample(codec, text.substr(0, it))) << it;
    }
    EXPECT_FALSE(open_sample(codec, text + "AAAA"));
    EXPECT_FALSE(open_sample(codec, "not base64!"));
    EXPECT_FALSE(open_sample(hint_codec{"other key"}, text));
}

TEST(hint_codec, rejects_foreign_and_stale_hints)
{
    const hint_codec codec{"key", hours{1}};
    const auto text = codec.seal(sample);
    EXPECT_FALSE(codec.open(text, organisation_id{"abc"}, sample.chat, issued_at));
    EXPECT_FALSE(codec.open(text, sample.organisation, chat_id{"c2"}, issued_at));
    EXPECT_FALSE(codec.open(text, organisation_id{"fbnc"}, chat_id{"1"}, issued_at));
    EXPECT_FALSE(codec.open(text, sample.organisation, sample.chat, issued_at + hours{2}));
    EXPECT_FALSE(codec.open(text, sample.organisation, sample.chat, issued_at - hours{2}));
}

} // namespace
} // namespace endivelatch
