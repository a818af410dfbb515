/**
 * Runs the key-value stand-in: `main.js [--address A] [--port P]`.
 */
import { parseCommonArguments, runStandIn } from '../main.js';
import { startKeyValueServer } from './server.js';

await runStandIn(parseCommonArguments(), startKeyValueServer);
