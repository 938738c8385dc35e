#include "endivelatch/entry/log_level.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using level = spdlog::level::level_enum;

TEST(log_level, distinguishes_failed_requests_from_served_ones)
{
    EXPECT_EQ(level_of(log_event{"target_chosen"}), level::info);
    EXPECT_EQ(level_of(log_event{"store_lost"}), level::warn);
    EXPECT_EQ(level_of(log_event{"settings_kept"}), level::err);
    EXPECT_EQ(level_of(log_event{"request_finished"}.add("outcome", "complete")), level::info);
    EXPECT_EQ(level_of(log_event{"request_finished"}.add("outcome", "caller_left")), level::info);
    EXPECT_EQ(level_of(log_event{"request_finished"}.add("outcome", "unknown")), level::warn);
}

TEST(log_level, changes_by_one_step_between_info_and_err)
{
    EXPECT_EQ(less_verbose(level::info), level::warn);
    EXPECT_EQ(less_verbose(less_verbose(less_verbose(level::info))), level::err);
    EXPECT_EQ(more_verbose(level::err), level::warn);
    EXPECT_EQ(more_verbose(more_verbose(more_verbose(level::err))), level::info);
}

} // namespace
} // namespace endivelatch
