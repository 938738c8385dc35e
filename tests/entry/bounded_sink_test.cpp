#include "endivelatch/entry/bounded_sink.hpp"
#include "endivelatch/entry/copy_query.hpp"
#include "endivelatch/entry/settings_file.hpp"

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

#include <gtest/gtest.h>
#include <poll.h>
#include <spdlog/logger.h>
#include <unistd.h>

namespace endivelatch {
namespace {

TEST(bounded_sink, drops_and_counts_lines_while_the_pipe_is_full)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    const auto sink = std::make_shared<bounded_sink>(ends[1]);
    spdlog::logger log{"test", sink};
    log.set_pattern("%v");
    const std::string line(1'000, 'x');
    for (int i = 0; i < 1'000; ++i) {
        log.info(line);
        sink->write_buffered(); // Must not block.
    }
    EXPECT_GT(sink->dropped(), 0U);
    EXPECT_TRUE(sink->has_buffered());
    std::string read_back;
    const auto read_all = [&] {
        std::array<char, 65'536> buf{};
        pollfd ready{ends[0], POLLIN, 0};
        while (poll(&ready, 1, 0) == 1) {
            const auto n = read(ends[0], buf.data(), buf.size());
            ASSERT_GT(n, 0);
            read_back.append(buf.data(), static_cast<std::size_t>(n));
            sink->write_buffered();
        }
    };
    read_all();
    EXPECT_FALSE(sink->has_buffered());
    log.info("last");
    sink->write_buffered();
    read_all();
    EXPECT_NE(read_back.find("event=log_lines_dropped count=" + std::to_string(sink->dropped())),
              std::string::npos);
    EXPECT_TRUE(read_back.ends_with("last\n"));
    close(ends[0]);
    close(ends[1]);
}

TEST(settings_file, detects_a_changed_file)
{
    const auto path = testing::TempDir() + "endivelatch-settings-test";
    std::ofstream{path} << "one";
    settings_file file{path};
    EXPECT_EQ(file.read(), "one");
    EXPECT_FALSE(file.has_changed());
    std::ofstream{path} << "three";
    EXPECT_TRUE(file.has_changed());
    EXPECT_EQ(file.read(), "three");
    EXPECT_FALSE(file.has_changed());
    std::remove(path.c_str());
    EXPECT_FALSE(file.has_changed());
    EXPECT_FALSE(file.read());
}

/// Reads a query from a path without headers.
std::optional<copy_query> read_path(const std::string& target)
{
    return read_copy_query(target, {});
}

TEST(copy_query, is_equal_after_writing_and_reading)
{
    const copy_query query{object_kind::targets, {store_era{3}, store_revision{530}}};
    const auto read =
        read_copy_query(write_copy_query(query), write_copy_era(query.newer_than.era));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, query.kind);
    EXPECT_EQ(read->newer_than, query.newer_than);
    EXPECT_FALSE(read->from_watcher);
    EXPECT_TRUE(read_path("/copy/targets?newer-than=1&from-watcher")->from_watcher);
    const copy_query full{object_kind::targets, {{}, store_revision{7}}, true, true, true};
    EXPECT_TRUE(read_path(write_copy_query(full))->small_only);
    EXPECT_TRUE(read_path(write_copy_query(full))->from_watcher);
    EXPECT_TRUE(read_path(write_copy_query(full))->accepts_changes);
    EXPECT_FALSE(read_path("/copy/targets?newer-than=1&from-watcher")->accepts_changes);
    EXPECT_EQ(read_path("/copy/evacuations?newer-than=1")->kind, object_kind::evacuations);
    EXPECT_FALSE(read_path("/copy/targets"));
    EXPECT_FALSE(read_path("/copy/routers?newer-than=1"));
    EXPECT_FALSE(read_path("/copy/targets?newer-than=1x"));
}

TEST(copy_query, states_how_long_its_answer_may_be_held_back)
{
    copy_query query{object_kind::targets, {{}, store_revision{7}}, true};
    query.wait = std::chrono::milliseconds{1'200};
    const auto read = read_copy_query(write_copy_query(query), write_copy_headers(query));
    EXPECT_EQ(read->wait, query.wait);
    EXPECT_FALSE(read_path("/copy/targets?newer-than=7")->wait);
    EXPECT_EQ(read_copy_query("/copy/targets?newer-than=7", {{"Copy-Wait-Ms", "99999"}})->wait,
              max_copy_wait);
    EXPECT_EQ(read_copy_query("/copy/targets?newer-than=7", {{"Copy-Wait-Ms", "-1"}})->wait,
              duration{});
}

// A confirmation must never look newer than it is.
TEST(copy_query, confirmations_are_rounded_down)
{
    const auto read = [](std::int64_t us) {
        return read_confirmation({write_confirmation(duration{us})});
    };
    EXPECT_EQ(read(1'999), std::chrono::milliseconds{1});
    EXPECT_EQ(read(-1), std::chrono::milliseconds{-1});
    EXPECT_FALSE(read_confirmation({}));
    EXPECT_FALSE(read_confirmation({{"Copy-Confirmed-Ms", "1e3"}}));
}

// Routers of earlier versions neither send nor read the era.
TEST(copy_query, without_an_era_is_written_as_by_earlier_versions)
{
    EXPECT_TRUE(write_copy_era(store_era{}).empty());
    EXPECT_EQ(read_copy_era({{"Copy-Era", "2x"}}), store_era{});
    EXPECT_EQ(read_path("/copy/targets?newer-than=1")->newer_than,
              (store_position{{}, store_revision{1}}));
}

} // namespace
} // namespace endivelatch
