#include "platform/object_mirror.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace buckthorndale::tests {

namespace {

auto object(const std::string& name, std::uint64_t revision) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["metadata"]["name"] = name;
    value["metadata"]["revision"] = Json::UInt64{revision};
    value["metadata"]["created"] = 1;
    return value;
}

auto position(std::uint64_t revision) -> state::store_position
{
    return {.era_ = state::store_era{1}, .revision_ = revision};
}

auto changes(std::vector<platform::object_change> items) -> platform::object_changes
{
    return {.changes_ = std::move(items), .position_ = position(50)};
}

/// Holds `kept` at revision 10 and `changed` at revision 20.
auto sample_mirror() -> platform::object_mirror
{
    auto mirror = platform::object_mirror{"kind"};
    mirror.replace({.objects_ = {object("kept", 10), object("changed", 20)}, .position_ = position(30)});
    return mirror;
}

} // namespace

BOOST_AUTO_TEST_SUITE(current_objects)

/// Guards against a check that overlooks a change, or reports one that is known.
BOOST_AUTO_TEST_CASE(changes_that_a_mirror_lacks_are_told_from_those_it_knows)
{
    const auto mirror = sample_mirror();
    BOOST_TEST(mirror.includes(changes({})));
    BOOST_TEST(
        mirror.includes(changes({{.object_ = object("changed", 15)}, {.object_ = object("changed", 20)}})));
    BOOST_TEST(mirror.includes(
        changes({{.object_ = object("gone", 5)}, {.object_ = object("gone", 5), .is_removed_ = true}})));
    BOOST_TEST(!mirror.includes(changes({{.object_ = object("changed", 21)}})));
    BOOST_TEST(!mirror.includes(changes({{.object_ = object("new", 5)}})));
    // The removal may state the revision of the last change.
    BOOST_TEST(!mirror.includes(changes({{.object_ = object("kept", 10), .is_removed_ = true}})));
    BOOST_TEST(!mirror.includes(changes({{.object_ = object("kept", 0), .is_removed_ = true}})));
    BOOST_TEST(mirror.includes(changes({{.object_ = object("kept", 9), .is_removed_ = true}})));
    auto other_era = changes({});
    other_era.position_.era_ = state::store_era{2};
    BOOST_TEST(!mirror.includes(other_era));
}

/// Guards against a mirror that is confirmed by one with other objects.
BOOST_AUTO_TEST_CASE(fingerprints_differ_with_each_change)
{
    auto mirror = sample_mirror();
    const auto first = mirror.fingerprint();
    BOOST_TEST(first == sample_mirror().fingerprint());
    mirror.apply(changes({{.object_ = object("changed", 40)}}));
    const auto second = mirror.fingerprint();
    BOOST_TEST(second != first);
    mirror.apply(changes({{.object_ = object("kept", 10), .is_removed_ = true}}));
    BOOST_TEST(mirror.fingerprint() != second);
    mirror.replace({.objects_ = {object("kept", 10), object("changed", 20)}, .position_ = position(60)});
    BOOST_TEST(mirror.fingerprint() == first);
}

/// Guards against a list that was not read to its end and takes with it what was known.
BOOST_AUTO_TEST_CASE(a_partial_listing_replaces_only_what_it_holds)
{
    auto mirror = sample_mirror();
    const auto listing = platform::object_listing{
        .objects_ = {object("changed", 35), object("kept", 9), object("new", 34)}, .position_ = position(40)};
    BOOST_TEST(mirror.merge(listing));
    BOOST_TEST(mirror.objects().size() == 3U);
    BOOST_TEST(mirror.objects().at("changed")["metadata"]["revision"].asUInt64() == 35U);
    BOOST_TEST(mirror.objects().at("kept")["metadata"]["revision"].asUInt64() == 10U);
    BOOST_TEST(!mirror.merge(listing));
    // What it lacks may have changed, so a whole listing of the same revision is newer.
    BOOST_TEST((mirror.position() == position(30)));
    BOOST_TEST(mirror.replace({.objects_ = {object("kept", 10)}, .position_ = position(40)}));
    BOOST_TEST(mirror.objects().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_partial_listing_of_another_era_counts_from_its_beginning)
{
    auto mirror = sample_mirror();
    auto listing = platform::object_listing{.objects_ = {object("changed", 5)}, .position_ = position(12)};
    listing.position_.era_ = state::store_era{2};
    BOOST_TEST(mirror.merge(listing));
    BOOST_TEST(mirror.objects().at("changed")["metadata"]["revision"].asUInt64() == 5U);
    BOOST_TEST((mirror.position() == state::store_position{.era_ = state::store_era{2}}));
    listing.position_.era_ = state::store_era{1};
    BOOST_TEST(!mirror.merge(listing));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests
