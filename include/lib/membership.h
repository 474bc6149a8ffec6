#ifndef SESAMEPICK_LIB_MEMBERSHIP_H
#define SESAMEPICK_LIB_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.pb-c.h"

enum
{
  HEARTBEAT_PERIOD_MS = 200,
  /* A member that was not heard for this long is not chosen as a home. */
  MEMBER_SUSPECT_MS = 700,
  /* After this time a majority of the members may use its slots. */
  MEMBER_DEAD_MS = 4000,
  MEMBERS_MAX = 255,
};

enum member_state
{
  /* Not heard yet, but too early to suspect it. */
  MEMBER_UNKNOWN,
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
};

struct member
{
  char *name;
  uint64_t hash;
  uint64_t incarnation;
  int64_t heard_ms;
  bool heard;
  bool hears_me;
  bool stopping;
  bool keys_young;
  enum member_state state;
  /* Members that it hears, one bit each; all bits are set if it has other members configured. */
  uint8_t hears[MEMBERS_MAX / 8 + 1];
};

/* Which of the configured entry hosts can be reached, according to their heartbeats. */
struct membership
{
  struct member *members;
  size_t n;
  size_t self;
  int64_t started_ms;
  int64_t sent_ms;
  /* Incremented by each change that may move a home. */
  uint64_t version;
  uint32_t names_hash;
};

struct membership *membership_create (const char *const *names, size_t n, const char *self,
                                      uint64_t incarnation, int64_t now_ms);
void membership_destroy (struct membership *membership);
int membership_find (const struct membership *membership, const char *name);
void membership_handle_heartbeat (struct membership *membership, size_t index,
                                  const Sp__PeerHeartbeat *heartbeat, int64_t now_ms);
void membership_get_heard (const struct membership *membership, uint8_t *bits);
void membership_update (struct membership *membership, int64_t now_ms);
bool membership_member_lost (const struct membership *membership, size_t index);
int membership_home (const struct membership *membership, const char *pool);
void membership_rank (const struct membership *membership, uint64_t key, uint8_t *order);

#endif
