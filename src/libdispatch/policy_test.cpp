#include "dispatch_test.h"
namespace pollenwall::test {
bool PolicyTests()
{
  return true;
}
} // namespace pollenwall::test
