// Reports of a follower that hears no registry.
#include "dewbeam/src/registrar/registry_contact.h"

#include <gtest/gtest.h>

namespace dewbeam::registrar {
namespace {

using std::chrono::seconds;

const time_point start = time_point(std::chrono::hours(1));

TEST(registry_contact, reports_a_loss_at_intervals_and_its_end)
{
    registry_contact state;
    EXPECT_EQ(update_contact(state, false, start), contact_report::none);
    EXPECT_EQ(update_contact(state, false, start + seconds(1)), contact_report::lost);
    EXPECT_EQ(update_contact(state, false, start + seconds(5)), contact_report::none);
    EXPECT_EQ(update_contact(state, false, start + seconds(11)), contact_report::lost);
    EXPECT_EQ(silence_of(state, start + seconds(11)), seconds(11));
    EXPECT_EQ(update_contact(state, true, start + seconds(12)), contact_report::restored);
    EXPECT_EQ(silence_of(state, start + seconds(12)), time_span::zero());
    EXPECT_EQ(update_contact(state, true, start + seconds(13)), contact_report::none);
}

}  // namespace
}  // namespace dewbeam::registrar
