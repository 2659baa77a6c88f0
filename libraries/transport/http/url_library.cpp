// Boost.URL without its compiled library, which nothing else here needs.
#include <boost/url/src.hpp>
