#include "dispatch_test.h"
namespace pollenwall::test {
bool QueueTests()
{
  return true;
}
} // namespace pollenwall::test
